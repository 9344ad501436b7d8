/** Creates the binder of a gateway's listeners, which logs and counts what happens to them. */
import {ListenerBinder} from '@pomelopick/core.listeners';
import {LogRateLimiter} from '@pomelopick/core.telemetry';
import type {CallCounters, DecisionLog} from '@pomelopick/core.telemetry';

/** Options of {@link createBinder}. */
export interface CreateBinderOptions {
	readonly counters: Pick<CallCounters, 'add'>;
	readonly log: DecisionLog;
	/** Monotonic time, in milliseconds. */
	readonly now: () => number;
}

/** Creates the binder. */
export function createBinder({counters, log, now}: CreateBinderOptions): ListenerBinder {
	const errorLines = new LogRateLimiter();
	return new ListenerBinder({
		observer: {
			onWaits(failure) {
				log.line('listener-waits', {...failure});
			},
			onRetry() {
				counters.add('listener.retried');
			},
			onStands(report) {
				log.line('listener-stands', {...report});
			},
			onError(failure) {
				counters.add('listener.error');
				if (errorLines.tryAcquire({key: failure.listener, nowMs: now()})) {
					log.line('listener-error', {...failure});
				}
			},
			onRefused({code, message}) {
				log.line('listener-refused', {reason: code, detail: message});
			},
		},
	});
}
