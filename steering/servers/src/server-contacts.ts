/**
 * Tracks the servers that may have started anew since this instance last knew their state.
 *
 * A server that restarts under its name is cold, and its entry in the store shows it later than its address can be
 * reached again. Contact is lost when a connection to a server cannot be made or ends unexpectedly. Until the server
 * has been asked for its state, or a response arrives on a connection that is older than the loss, it must be assumed
 * to be cold.
 *
 * A server that does not accept connections is unreachable from here; other instances may still reach it. When several
 * servers of a service are, and none of the service has responded since, the network is the likely cause, and all of the
 * service are taken to be unreachable until one responds.
 */
import type {BackendServerName, ServiceName} from '@pomelopick/core.types';
import type {ServerStart} from './server-start-map.js';

/** Number of unreachable servers of a service from which all of it are taken to be unreachable. */
const MIN_UNREACHABLE = 3;

/** A start of a server of a service. */
export interface ContactedServer extends ServerStart {
	readonly service: ServiceName;
}

interface LostContact {
	readonly startedAtMs: number | undefined;
	/** Monotonic time of the last loss, in milliseconds. */
	readonly lostAtMs: number;
	/** Whether it did not accept a connection when it was last checked. */
	isUnreachable: boolean;
}

/** Options of {@link ServerContacts.lose}. */
export interface LoseContactOptions {
	readonly server: ServerStart;
	/** Monotonic time, in milliseconds. */
	readonly nowMs: number;
}

/** Options of {@link ServerContacts.confirm}. */
export interface ConfirmContactOptions {
	readonly server: ContactedServer;
	/** Monotonic time before which contact was lost if what confirms it is newer than the loss, in milliseconds. */
	readonly sinceMs: number;
}

/** The servers with which contact was lost. */
export class ServerContacts {
	readonly #lost = new Map<BackendServerName, LostContact>();
	/** Servers that were found to be unreachable since a server of their service last responded. */
	readonly #unreachable = new Map<ServiceName, Set<BackendServerName>>();

	/** Records a loss; returns whether there was contact until now. */
	lose({server, nowMs}: LoseContactOptions): boolean {
		const hadContact = !this.isLost(server);
		this.#lost.set(server.name, {startedAtMs: server.startedAtMs, lostAtMs: nowMs, isUnreachable: !hadContact && this.#lost.get(server.name)!.isUnreachable});
		return hadContact;
	}

	/** Records that the state of a server is known again, unless contact was lost after it was asked; returns whether contact had been lost. */
	confirm({server, sinceMs}: ConfirmContactOptions): boolean {
		this.#unreachable.delete(server.service);
		const isConfirmed = this.isLost(server) && this.#lost.get(server.name)!.lostAtMs <= sinceMs;
		if (isConfirmed) {
			this.#lost.delete(server.name);
		}

		return isConfirmed;
	}

	/** Records a response on a connection; it shows that the server has not restarted since the connection was opened. */
	recordResponse({server, openedAtMs}: {readonly server: ContactedServer; readonly openedAtMs: number}): void {
		this.#unreachable.delete(server.service);
		const lost = this.isLost(server) ? this.#lost.get(server.name)! : undefined;
		if (lost && openedAtMs < lost.lostAtMs) {
			this.#lost.delete(server.name);
		} else if (lost) {
			lost.isUnreachable = false;
		}
	}

	/** Records the result of a check of a server with which contact is lost: whether it accepted a connection. */
	recordCheck({server, isReachable}: {readonly server: ContactedServer; readonly isReachable: boolean}): void {
		if (!this.isLost(server)) {
			return;
		}

		this.#lost.get(server.name)!.isUnreachable = !isReachable;
		if (isReachable) {
			this.#unreachable.delete(server.service);
			return;
		}

		const names = this.#unreachable.get(server.service) ?? new Set();
		names.add(server.name);
		this.#unreachable.set(server.service, names);
	}

	/** Whether a server cannot be reached from here, as far as is known. */
	isUnreachable(server: ContactedServer): boolean {
		return (this.isLost(server) && this.#lost.get(server.name)!.isUnreachable) || this.isCutOff(server.service);
	}

	/** Whether all servers of a service are taken to be unreachable. */
	isCutOff(service: ServiceName): boolean {
		return (this.#unreachable.get(service)?.size ?? 0) >= MIN_UNREACHABLE;
	}

	/** Number of servers with which contact is lost. */
	get lostCount(): number {
		return this.#lost.size;
	}

	/** Whether contact with this start of a server was lost and has not been confirmed since. */
	isLost({name, startedAtMs}: ServerStart): boolean {
		const lost = this.#lost.get(name);
		return lost !== undefined && lost.startedAtMs === startedAtMs;
	}

	/** Removes the state of a server. */
	forget(name: BackendServerName): void {
		this.#lost.delete(name);
		for (const names of this.#unreachable.values()) {
			names.delete(name);
		}
	}
}
