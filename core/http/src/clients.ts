/** Clients of the HTTP library for all but backend servers, whose connections are managed one by one. */
import {Pool} from 'undici';
import type {Client} from 'undici';
import {CheckedClient} from './checked-client.js';
import {createConnector} from './connector.js';

/** Options of a client. */
export interface ClientOptions {
	/** Timeout for establishing a connection, in milliseconds. */
	readonly connectTimeoutMs: number;
	/** Time for which an idle connection is kept, in milliseconds; by default as the library has it. */
	readonly keepAliveTimeoutMs?: number;
}

/** Options of {@link createPool}. */
export interface PoolOptions extends ClientOptions {
	/** Maximum number of connections; unlimited by default. */
	readonly connections?: number;
}

/** Creates a client with one connection. */
export function createClient(origin: string, options: ClientOptions): Client {
	return new CheckedClient(origin, toLibraryOptions(options));
}

/** Creates a pool of connections to one origin. */
export function createPool(origin: string, {connections, ...options}: PoolOptions): Pool {
	return new Pool(origin, {...toLibraryOptions(options), connections, factory: createPooledClient});
}

function createPooledClient(origin: URL, options: Client.Options): CheckedClient {
	return new CheckedClient(origin, options);
}

function toLibraryOptions({connectTimeoutMs, keepAliveTimeoutMs}: ClientOptions): Client.Options {
	return {
		connect: createConnector({timeoutMs: connectTimeoutMs}), ...(keepAliveTimeoutMs !== undefined && {keepAliveTimeout: keepAliveTimeoutMs}),
	};
}
