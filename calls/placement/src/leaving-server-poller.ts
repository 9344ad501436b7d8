/** Polls the backend servers of owned groups for whether they are leaving. Only the `state` that they report is used, not the HTTP status of the health check. */
import {sendCall} from '@pomelopick/core.http';
import {createAgent} from '@pomelopick/core.http/agent';
import {originOf} from '@pomelopick/core.types';
import type {BackendServer} from '@pomelopick/core.types';
import type {OwnerGroup} from './owner-group.js';

const INTERVAL_MS = 1000;
const TIMEOUT_MS = 800;
/** Failed polls in a row after which a server is no longer assumed to be leaving. */
const MAX_FAILED_ROUNDS = 5;

/** Options of {@link LeavingServerPoller}. */
export interface LeavingServerPollerOptions {
	readonly listGroups: () => readonly OwnerGroup[];
}

/** Polls `/health` of each server once per interval. */
export class LeavingServerPoller {
	readonly #options: LeavingServerPollerOptions;
	readonly #agent = createAgent({connectTimeoutMs: TIMEOUT_MS});
	readonly #failedRounds = new Map<string, number>();
	#timer: NodeJS.Timeout | undefined;

	constructor(options: LeavingServerPollerOptions) {
		this.#options = options;
	}

	/** Starts polling. */
	start(): void {
		this.#timer = setInterval(() => {
			for (const group of this.#options.listGroups()) {
				for (const server of group.servers) {
					void this.#poll({group, server});
				}
			}
		}, INTERVAL_MS);
	}

	/** Stops polling; polls in progress fail. */
	stop(): void {
		clearInterval(this.#timer);
		void this.#agent.destroy();
	}

	async #poll({group, server}: {readonly group: OwnerGroup; readonly server: BackendServer}): Promise<void> {
		const state = await this.#fetchState(server);
		const rounds = state === undefined ? (this.#failedRounds.get(server.name) ?? 0) + 1 : 0;
		this.#failedRounds.set(server.name, rounds);
		if (state !== undefined || rounds >= MAX_FAILED_ROUNDS) {
			group.recordLeaving({server: server.name, isLeaving: state === 'draining'});
		}
	}

	async #fetchState(server: BackendServer): Promise<string | undefined> {
		try {
			const {text} = await sendCall({
				dispatcher: this.#agent, origin: originOf(server), method: 'GET', path: '/health', body: undefined, timeoutMs: TIMEOUT_MS,
			});
			const body = JSON.parse(text) as {readonly state?: unknown};
			return typeof body.state === 'string' ? body.state : undefined;
		} catch {
			return undefined;
		}
	}
}
