/** The routes in force: whole versions, which never go back within a process. */
import {RouteTable} from '@pomelopick/steering.routes';
import type {StoredValue} from '@pomelopick/platform.store';
import type {RouteSet} from '@pomelopick/core.types';
import type {ViewChange} from './view-change.js';
import type {PlatformFormat} from './platform-format.js';

/** Options of {@link ActiveRoutes}. */
export interface ActiveRoutesOptions extends Pick<PlatformFormat, 'decodeRouteSet'> {
	/** Told of each version that came into force or was refused. */
	readonly onChange: (change: ViewChange) => void;
	/** Called when another version came into force. */
	readonly onRoutes: (set: RouteSet) => void;
}

/** Keeps the newest version. */
export class ActiveRoutes {
	readonly #options: ActiveRoutesOptions;
	#set: RouteSet | undefined;
	#table = new RouteTable([]);

	constructor(options: ActiveRoutesOptions) {
		this.#options = options;
	}

	/** Routes in force; undefined before the first. */
	get set(): RouteSet | undefined {
		return this.#set;
	}

	/** Routes in force, by host and prefix. */
	get table(): RouteTable {
		return this.#table;
	}

	/** Takes a version into force when it can be read and is newer; one that is refused changes nothing. */
	write(value: StoredValue): void {
		this.#options.decodeRouteSet(value.value).ifLeft(({message}) => {
			this.#refuse({version: String(this.#set?.version ?? 'none'), detail: message, storeIndex: value.modifyIndex});
		}).ifRight(set => {
			this.#writeSet({set, storeIndex: value.modifyIndex});
		});
	}

	#writeSet({set, storeIndex}: {readonly set: RouteSet; readonly storeIndex: number}): void {
		const current = this.#set?.version;
		if (current !== undefined && set.version < current) {
			this.#refuse({version: String(set.version), detail: `version ${current} is in force and a version never goes back`, storeIndex});
		}

		if (current !== undefined && set.version <= current) {
			return;
		}

		this.#set = set;
		this.#table = new RouteTable(set.routes);
		this.#options.onChange({
			event: 'routes-in-force',
			subject: String(set.version),
			detail: `${set.routes.length} routes, ${set.services.length} services, after version ${current ?? 'none'}`,
			storeIndex,
		});
		this.#options.onRoutes(set);
	}

	#refuse({version, detail, storeIndex}: {readonly version: string; readonly detail: string; readonly storeIndex: number}): void {
		this.#options.onChange({
			event: 'routes-refused', subject: version, detail, storeIndex,
		});
	}
}
