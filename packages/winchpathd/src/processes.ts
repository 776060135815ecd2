/** Starts the process that the settings ask for. */
import { type Settings } from "@winchpath/settings";
import { AgentProcess } from "./agents.js";
import { ControlProcess, type RunningProcess } from "./controls.js";

/** `onFatal` is called when durable state can't be written any more: the process has to end. */
export function startProcess(cfg: Settings, onFatal: (err: Error) => void): Promise<RunningProcess> {
    return cfg.role === "agent" ? AgentProcess.start(cfg) : ControlProcess.start(cfg, onFatal);
}
