/** Watches gateway processes: that they answer while they live, and what they said when they end by themselves. */
import {setTimeout as sleep} from 'node:timers/promises';
import type {GatewayProcess} from '@pomelopick/testing.gateway-fleet';
import type {GatewaySettingsInput} from '@pomelopick/config.settings';
import type {Violation} from './call-check.js';

const PROBE_INTERVAL_MS = 250;
/** Time for which a process that runs may leave its readiness address unanswered, in milliseconds. It has as long after a start or a freeze. */
const MAX_SILENCE_MS = 3000;
/** Number of log lines of a process that are reported. */
const LAST_LINES = 20;

/** A gateway that is watched. */
export interface WatchedGateway {
	readonly settings: GatewaySettingsInput;
	readonly process: GatewayProcess;
}

/** Returns the violation of a process that has ended: one that ended by itself, or with an error code after it was told to end. */
export async function findEndFailure({settings, process}: WatchedGateway): Promise<Violation | undefined> {
	const code = await process.exited;
	const isOwnEnd = !process.wasToldToEnd();
	const manner = `${isOwnEnd ? 'by itself' : 'when it was told to'}, ${code === undefined ? 'by a signal' : `with code ${code}`}`;
	return isOwnEnd || (code !== undefined && code !== 0)
		? {requestId: '', kind: 'instance-failed', detail: `${settings.instance} ended ${manner}: ${describeOutput(process)}`}
		: undefined;
}

/** Returns the standard error and the last log lines of a process. */
export function describeOutput({errors, lines}: Pick<GatewayProcess, 'errors' | 'lines'>): string {
	return `${errors.join('')} ${JSON.stringify(lines.slice(-LAST_LINES))}`;
}

/** Options of {@link watchSilence}. */
export interface WatchSilenceOptions {
	/** The gateway with the process that runs now. */
	readonly gateway: WatchedGateway;
	readonly onSilence: (violation: Violation) => void;
	readonly signal: AbortSignal;
}

/** Asks a gateway again and again whether it is ready, and reports it once each time it leaves that unanswered for too long though it runs. */
export async function watchSilence({gateway, onSilence, signal}: WatchSilenceOptions): Promise<void> {
	let {process} = gateway;
	// Time on a clock that is stopped while the process is ready to run and gets no processor.
	let answeredAtMs = performance.now() - process.starvedMs() + MAX_SILENCE_MS;
	while (!signal.aborted) {
		const isAnswered = !isDisturbed(process) && await isAnswering(gateway.settings);
		if (isAnswered) {
			answeredAtMs = performance.now() - process.starvedMs();
		} else if (gateway.process !== process || isDisturbed(process)) {
			process = gateway.process;
			answeredAtMs = performance.now() - process.starvedMs() + MAX_SILENCE_MS;
		} else if (performance.now() - process.starvedMs() - answeredAtMs > MAX_SILENCE_MS) {
			const silentMs = Math.round(performance.now() - process.starvedMs() - answeredAtMs);
			onSilence({
				requestId: '', kind: 'instance-silent', detail: `${gateway.settings.instance} runs and has not answered for ${silentMs} ms beyond its waits for a processor: ${describeOutput(process)}`,
			});
			answeredAtMs = Number.POSITIVE_INFINITY;
		}

		await sleep(PROBE_INTERVAL_MS);
	}
}

/** Whether the soak has frozen or ended a process. */
function isDisturbed(process: GatewayProcess): boolean {
	return process.isFrozen() || process.hasExited() || process.wasToldToEnd();
}

async function isAnswering(settings: GatewaySettingsInput): Promise<boolean> {
	try {
		const response = await fetch(`http://${settings.listen.readiness}/pomelopick/ready`, {signal: AbortSignal.timeout(MAX_SILENCE_MS)});
		await response.arrayBuffer();
		return true;
	} catch {
		// Not answering is what is watched.
		return false;
	}
}
