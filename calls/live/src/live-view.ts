/** The view that this instance has of routes, servers, evacuations and instances, updated by changes in the store. */
import {ServerTable} from '@pomelopick/steering.servers';
import type {OrganisationTable, RouteTable} from '@pomelopick/steering.routes';
import type {StoreChange, StoredValue} from '@pomelopick/platform.store';
import type {RouteSet} from '@pomelopick/core.types';
import type {ViewChange} from './view-change.js';
import {findRetention} from './find-retention.js';
import type {FindRetentionOptions, Retention} from './find-retention.js';
import {EvacuationEntries} from './evacuation-entries.js';
import {InstanceEntries} from './instance-entries.js';
import {INSTANCE_PREFIX} from './instance-record.js';
import type {InstanceTable} from './instance-table.js';
import type {PlatformFormat, Subject} from './platform-format.js';
import type {RecordReader} from './record-reader.js';
import {ServerEntries} from './server-entries.js';
import type {LostServer, WriteEffect} from './server-entries.js';
import {ActiveRoutes} from './active-routes.js';

/** Options of {@link LiveView}. */
export interface LiveViewOptions {
	readonly format: PlatformFormat;
	/** Called for each change of the view. */
	readonly onChange: (change: ViewChange) => void;
	/** Called when another version of the routes became active. */
	readonly onRoutes: (set: RouteSet) => void;
	/** Readers of the other records that instances share, including those of this instance. */
	readonly recordReaders: readonly RecordReader[];
	/** Called when a server restarted or was removed from the view. */
	readonly onServerLost: (lost: LostServer) => void;
}

/** Options of {@link LiveView.apply}. */
export interface ApplyChangesOptions {
	readonly changes: readonly StoreChange[];
	/** Monotonic time until which entries that expired while the store was unavailable may be written again, in milliseconds; undefined: the store was available. */
	readonly retainedUntilMs: number | undefined;
	/** Monotonic time, in milliseconds. */
	readonly nowMs: number;
}

/** Options of {@link LiveView.replace}. */
export interface ReplaceViewOptions extends Omit<ApplyChangesOptions, 'changes'> {
	/** Prefix of the keys that were read. */
	readonly prefix: string;
	readonly values: readonly StoredValue[];
	/** Whether the store has returned from an older copy since the last snapshot: entries that are missing may be written again. */
	readonly hasReturned: boolean;
}

interface RemoveOptions extends Pick<ApplyChangesOptions, 'nowMs'> {
	readonly key: string;
	readonly storeIndex: number;
	readonly retention: Retention;
}

/** The view; {@link LiveView.apply} and {@link LiveView.replace} update it. */
export class LiveView {
	readonly servers = new ServerTable();
	readonly #options: LiveViewOptions;
	readonly #serverEntries: ServerEntries;
	readonly #evacuations: EvacuationEntries;
	readonly #instances: InstanceEntries;
	readonly #activeRoutes: ActiveRoutes;

	constructor(options: LiveViewOptions) {
		const {format: {decodeRouteSet, decodeServer}, onChange, onRoutes, onServerLost} = options;
		const {servers} = this;
		this.#options = options;
		this.#serverEntries = new ServerEntries({
			servers, decodeServer, onChange, onServerLost,
		});
		this.#evacuations = new EvacuationEntries({servers, onChange});
		this.#instances = new InstanceEntries({onChange});
		this.#activeRoutes = new ActiveRoutes({decodeRouteSet, onChange, onRoutes});
	}

	/** Active routes; undefined before the first version. */
	get routeSet(): RouteSet | undefined {
		return this.#activeRoutes.set;
	}

	/** Active routes, by host and prefix. */
	get routes(): RouteTable {
		return this.#activeRoutes.table;
	}

	/** Organisations of the active configuration; undefined when it has none. */
	get organisations(): OrganisationTable | undefined {
		return this.#activeRoutes.organisations;
	}

	/** Live instances. */
	get instances(): InstanceTable {
		return this.#instances.table;
	}

	/** Applies changes in order. Returns those that other instances need too: all but outdated entries and heartbeats that change nothing else about their server. */
	apply({changes, retainedUntilMs, nowMs}: ApplyChangesOptions): readonly StoreChange[] {
		const lastKinds = new Map(changes.map(change => [change.kind === 'written' ? change.value.key : change.key, change.kind]));
		const retention = this.#findRetention({
			retainedUntilMs, hasReturned: false, existsAfter: key => lastKinds.get(key) !== 'removed', written: [...lastKinds].flatMap(([key, kind]) => kind === 'written' ? [key] : []),
		});
		return changes.filter(change => {
			if (change.kind === 'written') {
				return this.#write({value: change.value, nowMs}) === 'changed';
			}

			this.#remove({
				key: change.key, storeIndex: change.modifyIndex, retention, nowMs,
			});
			return true;
		});
	}

	/** Replaces the view with a snapshot of a prefix: keys that are not in it were removed. */
	replace({prefix, values, retainedUntilMs, hasReturned, nowMs}: ReplaceViewOptions): void {
		const keys = new Set(values.map(({key}) => key));
		const existsAfter = (key: string): boolean => !key.startsWith(prefix) || keys.has(key);
		const retention = this.#findRetention({
			retainedUntilMs, hasReturned, existsAfter, written: [...keys],
		});
		for (const key of this.#listKeys()) {
			if (!existsAfter(key)) {
				this.#remove({
					key, storeIndex: 0, retention, nowMs,
				});
			}
		}

		for (const value of values) {
			this.#write({value, nowMs});
		}
	}

	/** Removes retained servers, instances and evacuations whose entries were not written again in time. */
	expire(nowMs: number): void {
		this.#serverEntries.expire(nowMs);
		this.#evacuations.expire(nowMs);
		this.#instances.expire(nowMs);
	}

	#findRetention(options: Pick<FindRetentionOptions, 'retainedUntilMs' | 'hasReturned' | 'existsAfter' | 'written'>): Retention {
		return findRetention({...options, serverKeys: this.#serverEntries.listKeys(), instanceKeys: this.#instances.listKeys()});
	}

	#listKeys(): readonly string[] {
		return [...this.#serverEntries.listKeys(), ...this.#evacuations.listKeys(), ...this.#instances.listKeys()];
	}

	#write({value, nowMs}: {readonly value: StoredValue; readonly nowMs: number}): WriteEffect {
		// Other instances need the change even if this one could not apply it.
		return this.#isolate({key: value.key, storeIndex: value.modifyIndex, act: () => this.#writeValue({value, nowMs})}) ?? 'changed';
	}

	/** Confines a broken invariant in the handling of one key to that key. It is reported, and the changes of other keys are applied. */
	#isolate<Result>({key, storeIndex, act}: {readonly key: string; readonly storeIndex: number; readonly act: () => Result}): Result | undefined {
		try {
			return act();
		} catch (error) {
			this.#options.onChange({
				event: 'change-not-applied', subject: key, detail: (error as Error).stack ?? String(error), storeIndex,
			});
			return undefined;
		}
	}

	#writeValue({value, nowMs}: {readonly value: StoredValue; readonly nowMs: number}): WriteEffect {
		const subject = this.#options.format.readSubject(value.key);
		if (subject?.kind === 'server') {
			return this.#serverEntries.write({name: subject.server, value, nowMs});
		}

		if (subject) {
			this.#writeSubject({subject, value});
		} else if (value.key.startsWith(INSTANCE_PREFIX)) {
			this.#instances.write(value);
		} else {
			this.#readerOf(value.key)?.write(value);
		}

		return 'changed';
	}

	#readerOf(key: string): RecordReader | undefined {
		return this.#options.recordReaders.find(({prefix}) => key.startsWith(prefix));
	}

	#writeSubject({subject, value}: {readonly subject: Exclude<Subject, {kind: 'server'}>; readonly value: StoredValue}): void {
		switch (subject.kind) {
			case 'route-set': {
				this.#activeRoutes.write(value);
				break;
			}

			case 'evacuation': {
				this.#evacuations.write({key: value.key, failureDomain: subject.failureDomain, storeIndex: value.modifyIndex});
				break;
			}
		}
	}

	#remove(options: RemoveOptions): void {
		const {key, storeIndex} = options;
		this.#isolate({
			key, storeIndex, act: () => {
				this.#removeKey(options);
			},
		});
	}

	#removeKey({key, storeIndex, retention, nowMs}: RemoveOptions): void {
		const subject = this.#options.format.readSubject(key);
		if (subject?.kind === 'server') {
			this.#serverEntries.remove({
				key, name: subject.server, storeIndex, retainedUntilMs: retention.serversUntilMs,
			});
		} else if (subject?.kind === 'evacuation') {
			this.#evacuations.remove({
				key, failureDomain: subject.failureDomain, storeIndex, retainedUntilMs: retention.evacuationsUntilMs, nowMs,
			});
		} else if (key.startsWith(INSTANCE_PREFIX)) {
			this.#instances.remove({key, storeIndex, retainedUntilMs: retention.instancesUntilMs});
		} else {
			this.#readerOf(key)?.remove?.(key);
		}
	}
}
