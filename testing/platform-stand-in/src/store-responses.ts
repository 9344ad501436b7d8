/** Handles the calls to the metadata store and builds their responses in the platform's format. */
import {Buffer} from 'node:buffer';
import {MAX_VALUE_BYTES} from './key-values.js';
import type {KeyValues, StoredEntry} from './key-values.js';

const MILLISECONDS_PER_SECOND = 1000;
const MAX_ITEMS_PER_PAGE = 500;
const LEASE_PATH = /^\/pomelopick\/kv-(keep|lease-end)\/(\d+)$/u;

/** Status and body of a response. */
export interface StoreResponse {
	readonly status: number;
	readonly body: unknown;
	readonly isWrite?: boolean;
}

/** Body of a transaction: expected revisions, keys to write and keys to delete. */
export interface Transaction {
	readonly 'expect-rev': ReadonlyArray<{readonly key: string; readonly revision: number}>;
	readonly puts: ReadonlyArray<{readonly key: string; readonly value: string; readonly lease: number}>;
	readonly remove: readonly string[];
}

/** Parses the body of a transaction. */
export function parseTransaction(body: Uint8Array): Transaction {
	return JSON.parse(new TextDecoder().decode(body)) as Transaction;
}

/** Returns one item, or status 404 if the key does not exist. */
export function readKey({keyValues, key}: {readonly keyValues: KeyValues; readonly key: string}): StoreResponse {
	const [entry] = keyValues.read({key, recurse: false});
	return entry ? {status: 200, body: {...toItem(entry), 'as-of': keyValues.index}} : {status: 404, body: {'as-of': keyValues.index}};
}

/** Returns one page of the items with a prefix, starting after the key `after`. */
export function readRange({keyValues, prefix, after}: {readonly keyValues: KeyValues; readonly prefix: string; readonly after: string}): StoreResponse {
	const entries = keyValues.read({key: prefix, recurse: true}).filter(({key}) => key > after);
	return {
		status: 200,
		body: {
			items: entries.slice(0, MAX_ITEMS_PER_PAGE).map(entry => toItem(entry)),
			'more-pages': entries.length > MAX_ITEMS_PER_PAGE,
			'as-of': keyValues.index,
		},
	};
}

/** Returns the changes after an index, or status 410 if some of them are no longer kept. */
export function readChanges({keyValues, prefix, index}: {readonly keyValues: KeyValues; readonly prefix: string; readonly index: number}): StoreResponse {
	const changes = keyValues.changesAfter({prefix, index});
	if (!changes) {
		return {status: 410, body: {'as-of': keyValues.index}};
	}

	const events = changes.map(({key, modifyIndex, entry}) => entry ? toItem(entry) : {key, revision: modifyIndex, removed: true});
	return {status: 200, body: {events, 'as-of': keyValues.index}};
}

/** Runs a transaction atomically. Returns status 412 with the current items if an expected revision differs. */
export function runTransaction({keyValues, transaction}: {readonly keyValues: KeyValues; readonly transaction: Transaction}): StoreResponse {
	const {'expect-rev': conditions, puts, remove} = transaction;
	const oversizedPut = puts.find(({value}) => Buffer.from(value, 'base64').length > MAX_VALUE_BYTES);
	if (oversizedPut) {
		return {status: 413, body: `${oversizedPut.key}: at most ${MAX_VALUE_BYTES} bytes are accepted`};
	}

	if (puts.some(({lease}) => lease !== 0 && !keyValues.hasSession(lease))) {
		return {status: 404, body: 'no such lease'};
	}

	const current = conditions.flatMap(({key}) => keyValues.read({key, recurse: false}));
	const conditionsMet = conditions.every(({key, revision}) => (current.find(entry => entry.key === key)?.modifyIndex ?? 0) === revision);
	if (!conditionsMet) {
		return {status: 412, body: {items: current.map(entry => toItem(entry))}};
	}

	for (const {key, value, lease} of puts) {
		keyValues.put({key, value: Buffer.from(value, 'base64'), session: lease === 0 ? undefined : lease});
	}

	for (const key of remove) {
		keyValues.delete({key});
	}

	return {status: 200, body: {revision: keyValues.index}};
}

/** Grants, renews or ends a lease. A lease is a session of the key-value store. */
export function handleLeaseCall({keyValues, pathname, body}: {readonly keyValues: KeyValues; readonly pathname: string; readonly body: Uint8Array}): StoreResponse {
	if (pathname === '/pomelopick/kv-lease') {
		const seconds = (JSON.parse(new TextDecoder().decode(body)) as {'ttl-s_time': number})['ttl-s_time'];
		return {status: 200, body: {lease: keyValues.createSession({timeToLiveMs: seconds * MILLISECONDS_PER_SECOND}), 'ttl-s_time': seconds}, isWrite: true};
	}

	const match = LEASE_PATH.exec(pathname);
	if (!match) {
		return {status: 404, body: 'unknown path'};
	}

	const lease = Number(match[2]);
	if (match[1] === 'keep') {
		return keyValues.renewSession(lease) ? {status: 200, body: {}} : {status: 404, body: 'no such lease'};
	}

	keyValues.destroySession(lease);
	return {status: 200, body: {}, isWrite: true};
}

function toItem({key, value, modifyIndex, createIndex, session}: StoredEntry): Record<string, unknown> {
	return {
		key, value: Buffer.from(value).toString('base64'), revision: modifyIndex, 'create-rev': createIndex, lease: session ?? 0,
	};
}
