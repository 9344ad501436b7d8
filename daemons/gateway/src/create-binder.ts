/** Logs and counts what happens to a gateway's listeners. */
import {ListenerBinder} from '@pomelopick/core.listeners';
import {LogRateLimiter} from '@pomelopick/core.telemetry';
import type {CallCounters, DecisionLog} from '@pomelopick/core.telemetry';
import type {HttpListenerOptions} from './http-listener.js';

/** Maximum lengths of a request's target and of an error's stack in the log. */
const MAX_TARGET_LENGTH = 200;
const MAX_STACK_LENGTH = 1000;

/** Options of {@link createBinder} and {@link createFailureLog}. */
export interface CreateBinderOptions {
	readonly counters: Pick<CallCounters, 'add'>;
	readonly log: DecisionLog;
	/** Monotonic time, in milliseconds. */
	readonly now: () => number;
}

/** Creates the binder of the listeners. */
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

/** Creates, for a listener by name, what is called with each error that handling a request threw. */
export function createFailureLog({counters, log, now}: CreateBinderOptions): (listener: string) => HttpListenerOptions['onFailure'] {
	const lines = new LogRateLimiter();
	return listener => ({target, error: {name, message, stack}}) => {
		counters.add('listener.request-failed');
		if (lines.tryAcquire({key: listener, nowMs: now()})) {
			log.line('listener-request-failed', {
				listener, subject: target.slice(0, MAX_TARGET_LENGTH), reason: name, detail: message, stack: stack?.slice(0, MAX_STACK_LENGTH),
			});
		}
	};
}
