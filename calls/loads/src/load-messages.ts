/**
 * Messages with the loads of backend servers.
 *
 * A load is written as a list: the name of the server, its requests in flight and, if its work factor was reported
 * recently, the work factor in percent and the age of that report in milliseconds. Every instance gets the loads of all
 * servers twice a second, so that names of fields would be most of what it receives.
 */
import {Either, Left, Right} from 'purify-ts';
import {
	describeValue, isNumberWithin, parseForeignJson, toEntries, toFields,
} from '@pomelopick/core.types';
import type {
	BackendServerName, CodedError, InstanceId, RegionName,
} from '@pomelopick/core.types';
import type {ServiceDemand, SharedLoad} from '@pomelopick/steering.loads';
import {encodeDemands, readDemands} from './demand-messages.js';

/** Maximum number of servers in a message. */
const MAX_SERVERS = 20_000;
const MAX_IN_FLIGHT = 1e6;
const MAX_PERCENT = 1e6;
const MAX_AGE_MS = 60_000;
const PERCENT = 100;

const isInFlight = isNumberWithin({min: 0, max: MAX_IN_FLIGHT});
const isPercent = isNumberWithin({min: 0, max: MAX_PERCENT});
const isAge = isNumberWithin({min: 0, max: MAX_AGE_MS});

/** What a report or its answer tells. */
export interface LoadAnswer {
	readonly loads: readonly SharedLoad[];
	/** Demand for services; empty where none is measured, and from instances of builds that know only loads. */
	readonly demand: readonly ServiceDemand[];
}

/** Report of an instance, or of the collector of a region for all its instances. */
export interface LoadReport extends LoadAnswer {
	/** Instance that reports its own requests; undefined: a region is reported. */
	readonly instance: InstanceId | undefined;
	/** Region that is reported; undefined: an instance is reported. */
	readonly region: RegionName | undefined;
}

/** Encodes a report. */
export function encodeLoadReport({instance, region, loads, demand}: LoadReport): string {
	return JSON.stringify({
		instance, region, loads: loads.map(load => encodeLoad(load)), demand: encodeDemands(demand),
	});
}

/** Encodes the answer to a report of an instance. */
export function encodeLoadAnswer({loads, demand}: LoadAnswer): string {
	return JSON.stringify({loads: loads.map(load => encodeLoad(load)), demand: encodeDemands(demand)});
}

/** Decodes a report; Left describes what is wrong with it. Never throws. */
export function decodeLoadReport(text: string): Either<CodedError, LoadReport> {
	return parseForeignJson(text).chain<CodedError, LoadReport>(value => {
		const {instance, region} = toFields<LoadReport>(value);
		const isFromInstance = typeof instance === 'string' && region === undefined;
		const isFromRegion = typeof region === 'string' && instance === undefined;
		return isFromInstance || isFromRegion
			? readAnswer(value).map(answer => ({instance, region, ...answer}))
			: Left(malformed(`instance, region: expected one of them, found ${describeValue(value)}`));
	});
}

/** Decodes the answer to a report of an instance; Left describes what is wrong with it. Never throws. */
export function decodeLoadAnswer(text: string): Either<CodedError, LoadAnswer> {
	return parseForeignJson(text).chain<CodedError, LoadAnswer>(value => readAnswer(value));
}

function readAnswer(value: unknown): Either<CodedError, LoadAnswer> {
	const fields = toFields<LoadAnswer>(value);
	return readLoads(fields.loads).chain(loads => readDemands(fields.demand).map(demand => ({loads, demand})));
}

function encodeLoad({server, inFlight, workFactor}: SharedLoad): ReadonlyArray<string | number> {
	return workFactor ? [server, inFlight, Math.round(workFactor.factor * PERCENT), Math.round(workFactor.ageMs)] : [server, inFlight];
}

function readLoads(value: unknown): Either<CodedError, readonly SharedLoad[]> {
	return Array.isArray(value) && value.length <= MAX_SERVERS
		? Either.sequence(value.map(load => readLoad(load)))
		: Left(malformed(`loads: expected a list of at most ${MAX_SERVERS}, found ${describeValue(value)}`));
}

function readLoad(value: unknown): Either<CodedError, SharedLoad> {
	const [server, inFlight, percent, ageMs] = toEntries(value);
	const workFactor = isPercent(percent) && isAge(ageMs) ? {factor: percent / PERCENT, ageMs} : undefined;
	return typeof server === 'string' && isInFlight(inFlight) && (percent === undefined || workFactor)
		? Right({server: server as BackendServerName, inFlight, workFactor})
		: Left(malformed(`loads: expected a server, its requests in flight and perhaps its work factor, found ${describeValue(value)}`));
}

function malformed(message: string): CodedError {
	return {code: 'malformed-load-report', message};
}
