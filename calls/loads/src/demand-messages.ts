/**
 * The part of load messages that tells the demand for services.
 *
 * For each service a list: its name; a list for each priority with the requests per second that are sent and admitted; a
 * list for each organisation with its usual requests per second and, in turn, priorities and the requests per second of
 * each. Rates have two decimals. The last entry, which builds that do not know it ignore, tells what becomes of the
 * requests: those answered per second, the sum of the expected waits of the requests of a second, and the number of
 * instances that measured it.
 */
import {Either, Left, Right} from 'purify-ts';
import {
	describeValue, isNumberWithin, isWithin, toEntries,
} from '@pomelopick/core.types';
import type {CodedError, OrganisationName, ServiceName} from '@pomelopick/core.types';
import {recentRateOf} from '@pomelopick/steering.loads';
import type {
	OrganisationDemand, PriorityDemand, ServiceDemand, ServiceFlow,
} from '@pomelopick/steering.loads';

/** Maximum length of the organisations in a message, in characters: two messages and two answers a second then take less than 8 kB. */
const MAX_LENGTH = 1700;
/** Maximum number of services, priorities and organisations in lists that are read. */
const MAX_ENTRIES = 10_000;
const MAX_RATE = 1e9;
const MAX_PRIORITY = 1e6;
/** Number of steps of a rate between 0 and 1. */
const RATE_STEPS = 100;

const isRate = isNumberWithin({min: 0, max: MAX_RATE});
const isPriority = isWithin({min: 0, max: MAX_PRIORITY});

type EncodedDemand = readonly [string, ReadonlyArray<readonly number[]>, ReadonlyArray<ReadonlyArray<string | number>>, (readonly number[])?];

/** Encoded sums: a collector answers the same ones to several reports. */
const encodedDemands = new WeakMap<readonly ServiceDemand[], readonly EncodedDemand[]>();

/** Encodes demands; organisations with the smallest ones are left out where all would be too long. Undefined: there are none. */
export function encodeDemands(demands: readonly ServiceDemand[]): readonly EncodedDemand[] | undefined {
	if (demands.length === 0) {
		return undefined;
	}

	const encoded = encodedDemands.get(demands) ?? encodeAll(demands);
	encodedDemands.set(demands, encoded);
	return encoded;
}

function encodeAll(demands: readonly ServiceDemand[]): readonly EncodedDemand[] {
	const kept = keepLargest(demands);
	return demands.map(({service, priorities, flow}) => {
		const rates = priorities.map(({priority, offeredRate, admittedRate}) => [priority, roundRate(offeredRate), roundRate(admittedRate)]);
		const organisations = kept.get(service) ?? [];
		return flow ? [service, rates, organisations, encodeFlow(flow)] : [service, rates, organisations];
	});
}

/** Reads demands; none where the sender knows no demands. Left describes what is wrong with them. */
export function readDemands(value: unknown): Either<CodedError, readonly ServiceDemand[]> {
	return value === undefined ? Right([]) : readList({value, read: readDemand});
}

function keepLargest(demands: readonly ServiceDemand[]): ReadonlyMap<ServiceName, ReadonlyArray<ReadonlyArray<string | number>>> {
	const all = demands.flatMap(({service, organisations}) => organisations.map(organisation => ({service, organisation, rate: recentRateOf(organisation)})));
	const kept = new Map<ServiceName, Array<ReadonlyArray<string | number>>>();
	let length = 0;
	for (const {service, organisation} of all.toSorted((left, right) => right.rate - left.rate)) {
		const encoded = encodeOrganisation(organisation);
		length += JSON.stringify(encoded).length + 1;
		if (length > MAX_LENGTH) {
			break;
		}

		kept.set(service, [...(kept.get(service) ?? []), encoded]);
	}

	return kept;
}

function encodeOrganisation({holder, usualRate, rates}: OrganisationDemand): ReadonlyArray<string | number> {
	return [holder, roundRate(usualRate), ...[...rates].flatMap(([priority, rate]) => [priority, roundRate(rate)])];
}

function encodeFlow({answeredRate, waitRate, instances}: ServiceFlow): readonly number[] {
	return [roundRate(answeredRate), roundRate(waitRate), instances];
}

function readDemand(value: unknown): Either<CodedError, ServiceDemand> {
	const [service, encodedPriorities, encodedOrganisations, encodedFlow] = toEntries(value);
	return typeof service === 'string'
		? readList({value: encodedPriorities, read: readPriority})
			.chain(priorities => readList({value: encodedOrganisations, read: readOrganisation})
				.chain(organisations => readFlow(encodedFlow)
					.map(flow => ({
						service: service as ServiceName, priorities, organisations, ...(flow && {flow}),
					}))))
		: Left(malformed(value));
}

/** Reads what becomes of the requests; undefined where the sender does not tell it. */
function readFlow(value: unknown): Either<CodedError, ServiceFlow | undefined> {
	const [answeredRate, waitRate, instances] = toEntries(value);
	if (value === undefined) {
		return Right(undefined);
	}

	return isRate(answeredRate) && isRate(waitRate) && isRate(instances) ? Right({answeredRate, waitRate, instances}) : Left(malformed(value));
}

function readPriority(value: unknown): Either<CodedError, PriorityDemand> {
	const [priority, offeredRate, admittedRate] = toEntries(value);
	return isPriority(priority) && isRate(offeredRate) && isRate(admittedRate) ? Right({priority, offeredRate, admittedRate}) : Left(malformed(value));
}

function readOrganisation(value: unknown): Either<CodedError, OrganisationDemand> {
	const [holder, usualRate, ...encodedRates] = toEntries(value);
	const rates = new Map<number, number>();
	for (let index = 0; index < encodedRates.length; index += 2) {
		const [priority, rate] = encodedRates.slice(index, index + 2);
		if (!isPriority(priority) || !isRate(rate)) {
			return Left(malformed(value));
		}

		rates.set(priority, rate);
	}

	return typeof holder === 'string' && isRate(usualRate) ? Right({holder: holder as OrganisationName | '', usualRate, rates}) : Left(malformed(value));
}

function readList<Value>({value, read}: {readonly value: unknown; readonly read: (value: unknown) => Either<CodedError, Value>}): Either<CodedError, readonly Value[]> {
	return Array.isArray(value) && value.length <= MAX_ENTRIES ? Either.sequence(value.map(entry => read(entry))) : Left(malformed(value));
}

function roundRate(rate: number): number {
	return Math.round(rate * RATE_STEPS) / RATE_STEPS;
}

function malformed(value: unknown): CodedError {
	return {code: 'malformed-load-report', message: `demand: expected services with the rates of priorities and organisations, found ${describeValue(value)}`};
}
