/** Queues signals that arrive while the program is still being loaded. */
import process from 'node:process';

/** Signals that a gateway handles. */
export type GatewaySignal = 'SIGHUP' | 'SIGTERM' | 'SIGINT';

/** Sets the handler of signals, which is called first for those that are queued. */
export type OnSignal = (handle: (signal: GatewaySignal) => void) => void;

const signals: readonly GatewaySignal[] = ['SIGHUP', 'SIGTERM', 'SIGINT'];

/** Catches signals from now on, and queues them until a handler is set. */
export function keepSignals(): OnSignal {
	const queued = new Set<GatewaySignal>();
	let deliver = (signal: GatewaySignal): void => {
		queued.add(signal);
	};

	const receive = (signal: GatewaySignal): void => {
		deliver(signal);
	};

	for (const signal of signals) {
		process.on(signal, receive);
	}

	return handle => {
		deliver = handle;
		for (const signal of queued) {
			handle(signal);
		}
	};
}
