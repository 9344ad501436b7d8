/** Ends the output of a connection so that the other side surely gets the end. */
import {readFileSync} from 'node:fs';
import type {Socket} from 'node:net';
import {setTimeout as sleep} from 'node:timers/promises';

const HEXADECIMAL = 16;
const PORT_DIGITS = 4;
const POLL_INTERVAL_MS = 1;
/** Time for which the wait blocks the process, in milliseconds: more than the operating system's first repetition of a segment takes. */
const BLOCKING_MS = 500;
const ACKNOWLEDGEMENT_TIMEOUT_MS = 5000;

/** States of a connection in `/proc/net/tcp` in which its end may be unsent or on its way. */
const ESTABLISHED = '01';
const FIN_WAIT_1 = '04';
const pendingStates: ReadonlySet<string> = new Set([ESTABLISHED, FIN_WAIT_1]);

/** Options of {@link endOutput}. */
export interface EndOutputOptions {
	readonly socket: Socket;
	/** Last data, written before the end. */
	readonly data: string;
}

/**
 * Writes data and ends the output, and resolves once the operating system of the other side has the end or the connection is closed.
 *
 * A connection that is reset any earlier may discard its end: when memory for sockets is short, Linux sends the end only
 * with a repetition of the last data.
 *
 * The wait blocks this process for a while, so that an other side in the same process has not read the end when it is over.
 * It then goes on without, as the other side's operating system may have no room for the end until something is read.
 */
export async function endOutput({socket, data}: EndOutputOptions): Promise<void> {
	await new Promise<void>(resolve => {
		socket.end(data, resolve);
	});
	const {localPort, remotePort} = socket;
	if (localPort !== undefined && remotePort !== undefined) {
		await waitForAcknowledgedEnd({localPort, remotePort});
	}
}

interface Ports {
	readonly localPort: number;
	readonly remotePort: number;
}

async function waitForAcknowledgedEnd(ports: Ports): Promise<void> {
	const startedAtMs = performance.now();
	while (pendingStates.has(readState(ports))) {
		const waitedMs = performance.now() - startedAtMs;
		if (waitedMs > ACKNOWLEDGEMENT_TIMEOUT_MS) {
			throw new Error(`the end of the connection from port ${ports.localPort} to port ${ports.remotePort} was not acknowledged`);
		}

		if (waitedMs < BLOCKING_MS) {
			block(POLL_INTERVAL_MS);
		} else {
			await sleep(POLL_INTERVAL_MS);
		}
	}
}

/** Returns the state of a connection over IPv4, or an empty string if there is none. */
function readState({localPort, remotePort}: Ports): string {
	const rows = readFileSync('/proc/net/tcp', 'utf8').split('\n').map(row => row.trim().split(/\s+/u));
	const found = rows.find(([, local, remote]) => local?.endsWith(suffixOf(localPort)) && remote?.endsWith(suffixOf(remotePort)));
	return found?.[3] ?? '';
}

function suffixOf(port: number): string {
	return `:${port.toString(HEXADECIMAL).toUpperCase().padStart(PORT_DIGITS, '0')}`;
}

function block(durationMs: number): void {
	Atomics.wait(new Int32Array(new SharedArrayBuffer(Int32Array.BYTES_PER_ELEMENT)), 0, 0, durationMs);
}
