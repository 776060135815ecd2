/** Starts the process for the configured role. */
import { type Settings } from "@winchpath/settings";
import { AgentProcess } from "./agents.js";
import { ControlProcess, type RunningProcess } from "./controls.js";

/** `onFatal` is called when durable state can no longer be written and the process must exit. */
export function startProcess(cfg: Settings, onFatal: (err: Error) => void): Promise<RunningProcess> {
    return cfg.role === "agent" ? AgentProcess.start(cfg) : ControlProcess.start(cfg, onFatal);
}
