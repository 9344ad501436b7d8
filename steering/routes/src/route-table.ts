/** Finds the route of a request by its host and the longest prefix of its path. */
import type {Route} from '@pomelopick/core.types';

/** Options of {@link RouteTable.find}. */
export interface FindRouteOptions {
	/** Host as the caller sent it, with or without a port. */
	readonly host: string;
	/** Path and query. */
	readonly path: string;
}

/** The routes of one version of the route set. */
export class RouteTable {
	/** Routes of each host, longest prefix first. */
	readonly #routes = new Map<string, Route[]>();

	constructor(routes: readonly Route[]) {
		for (const route of routes) {
			const ofHost = this.#routes.get(route.host);
			if (ofHost) {
				ofHost.push(route);
			} else {
				this.#routes.set(route.host, [route]);
			}
		}

		for (const ofHost of this.#routes.values()) {
			ofHost.sort((left, right) => right.prefix.length - left.prefix.length);
		}
	}

	/** The route of a request; undefined when there is none. */
	find({host, path}: FindRouteOptions): Route | undefined {
		const end = path.indexOf('?');
		const pathOnly = end === -1 ? path : path.slice(0, end);
		return this.ofHost(host).find(({prefix}) => pathOnly.startsWith(prefix));
	}

	/** All routes of a host. */
	ofHost(host: string): readonly Route[] {
		return this.#routes.get(normalizeHost(host)) ?? [];
	}
}

function normalizeHost(host: string): string {
	const withoutPort = host.startsWith('[') ? host : host.replace(/:\d*$/u, '');
	return withoutPort.toLowerCase();
}
