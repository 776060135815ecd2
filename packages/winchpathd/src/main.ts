#!/usr/bin/env node
/**
 * `winchpathd --settings FILE`: one process of the system, in the role that its settings give;
 * `winchpathd --platform ROLE`: one on the users' platform, with the settings that it writes.
 */
import { run } from "./programs.js";

await run(process.argv.slice(2));
