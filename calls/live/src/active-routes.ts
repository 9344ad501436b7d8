/** The active routes. A newer version replaces all routes at once; older versions are refused, so that the version never decreases within a process. */
import {OrganisationTable, RouteTable} from '@pomelopick/steering.routes';
import type {StoredValue} from '@pomelopick/platform.store';
import type {RouteSet} from '@pomelopick/core.types';
import type {ViewChange} from './view-change.js';
import type {PlatformFormat} from './platform-format.js';

/** Options of {@link ActiveRoutes}. */
export interface ActiveRoutesOptions extends Pick<PlatformFormat, 'decodeRouteSet'> {
	/** Called for each version that became active (event `routes-in-force`) or was refused. */
	readonly onChange: (change: ViewChange) => void;
	/** Called when another version became active. */
	readonly onRoutes: (set: RouteSet) => void;
}

/** Keeps the newest version of the routes. */
export class ActiveRoutes {
	readonly #options: ActiveRoutesOptions;
	#set: RouteSet | undefined;
	#table = new RouteTable([]);
	#organisations: OrganisationTable | undefined;

	constructor(options: ActiveRoutesOptions) {
		this.#options = options;
	}

	/** Active routes; undefined before the first version. */
	get set(): RouteSet | undefined {
		return this.#set;
	}

	/** Active routes, by host and prefix. */
	get table(): RouteTable {
		return this.#table;
	}

	/** Organisations of the active configuration; undefined when it has none, so that callers are not authenticated. */
	get organisations(): OrganisationTable | undefined {
		return this.#organisations;
	}

	/** Activates a version if it can be decoded and is newer; a refused version changes nothing. */
	write(value: StoredValue): void {
		this.#options.decodeRouteSet(value.value).ifLeft(({code, message}) => {
			// The version of a malformed set is unknown, so the event names the active one.
			this.#refuse({
				version: String(this.#set?.version ?? 'none'), detail: message, reason: code, storeIndex: value.modifyIndex,
			});
		}).ifRight(set => {
			this.#activateIfNewer({set, storeIndex: value.modifyIndex});
		});
	}

	/** A version equal to the active one changes nothing and is not reported. */
	#activateIfNewer({set, storeIndex}: {readonly set: RouteSet; readonly storeIndex: number}): void {
		const current = this.#set?.version;
		if (current !== undefined && set.version < current) {
			this.#refuse({version: String(set.version), detail: `version ${current} is active and versions never decrease`, storeIndex});
		}

		if (current !== undefined && set.version <= current) {
			return;
		}

		this.#set = set;
		this.#table = new RouteTable(set.routes);
		this.#organisations = set.organisations && new OrganisationTable(set.organisations);
		this.#options.onChange({
			event: 'routes-in-force',
			subject: String(set.version),
			detail: `${set.routes.length} routes, ${set.services.length} services, ${set.organisations ? `${set.organisations.length} organisations, ` : ''}after version ${current ?? 'none'}`,
			storeIndex,
		});
		for (const detail of set.warnings) {
			this.#options.onChange({
				event: 'routes-read-in-part', subject: String(set.version), detail, reason: 'read-in-part', storeIndex,
			});
		}

		this.#options.onRoutes(set);
	}

	#refuse({version, ...refusal}: Pick<ViewChange, 'detail' | 'reason' | 'storeIndex'> & {readonly version: string}): void {
		this.#options.onChange({
			event: 'routes-refused', subject: version, ...refusal,
		});
	}
}
