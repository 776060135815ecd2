#!/usr/bin/env node
/**
 * `winchpathd --settings FILE` runs the role named in a settings file;
 * `winchpathd --platform ROLE` runs a role on the users' platform, with the settings file that the platform provides.
 */
import { run } from "./programs.js";

await run(process.argv.slice(2));
