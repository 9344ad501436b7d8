/** Creates the binder of an entry instance's listeners, which records and counts what happens to them. */
import {ListenerBinder} from '@pomelopick/core.listeners';
import type {ListenerFailure} from '@pomelopick/core.listeners';
import {createLog} from '@pomelopick/core.telemetry';
import type {CallCounters, EventRecord} from '@pomelopick/core.telemetry';

/** Options of {@link createBinder}. */
export interface CreateBinderOptions {
	readonly counters: Pick<CallCounters, 'add'>;
	readonly events: EventRecord;
	/** Called once for each listener whose address is in use and waited for. */
	readonly onWaits?: (failure: ListenerFailure) => void;
}

/** Creates the binder. */
export function createBinder({counters, events, onWaits}: CreateBinderOptions): ListenerBinder {
	const log = createLog('entry');
	return new ListenerBinder({
		observer: {
			onWaits(failure) {
				events.add({kind: 'lifecycle', message: 'a listener waits for its address', fields: {...failure}});
				onWaits?.(failure);
			},
			onRetry() {
				counters.add('listener.retried');
			},
			onStands(report) {
				events.add({kind: 'lifecycle', message: 'a listener stands after it has waited', fields: {...report}});
				log('listen.%s: listening at %s after %d ms', report.listener, report.address, report.waitedMs);
			},
			onError({listener, detail}) {
				counters.add('listener.error');
				log('listen.%s: %s', listener, detail);
			},
			onRefused({message}) {
				log('%s', message);
			},
		},
	});
}
