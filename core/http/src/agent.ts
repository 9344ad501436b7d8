/** Pools of connections to any number of servers. A module of its own, as the bundle of the gateway leaves the library's agent out. */
import {Agent} from 'undici';
import {createPool} from './clients.js';
import type {PoolOptions} from './clients.js';

/** Creates an agent, which connects to the origin that a call names. */
export function createAgent(options: PoolOptions): Agent {
	return new Agent({factory: origin => createPool(String(origin), options)});
}
