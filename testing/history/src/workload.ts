/** Concurrent callers that send copies of their calls to several instances, drawn from a seed. */
import {setTimeout as sleep} from 'node:timers/promises';
import {xoroshiro128plus} from 'pure-rand/generator/xoroshiro128plus';
import {uniformInt} from 'pure-rand/distribution/uniformInt';
import type {Endpoint} from '@pomelopick/core.types';
import {createKey} from '@pomelopick/testing.callers';
import {readOutcome} from './read-outcome.js';
import type {CopyRecord, OutcomeRecord} from './records.js';
import {CopySender} from './send-copy.js';

const RESEND_PAUSE_MS = 60;
const MOST_RESENDS = 5;
const PERCENT = 100;
const READ_OUTCOME_PERCENT = 30;
const LARGE_BODY_PERCENT = 5;
/** More than is held of the body of a call without a key. */
const LEAST_LARGE_BODY_BYTES = 70_000;
const MOST_LARGE_BODY_BYTES = 400_000;
/** Seeds of the workers lie apart by this much. */
const SEED_STRIDE = 7919;

/** An instance that copies can be sent to. */
export interface Target {
	readonly instance: string;
	readonly endpoint: Endpoint;
}

/** Options of {@link runWorkload}. */
export interface RunWorkloadOptions {
	readonly seed: number;
	/** Callers at the same time. */
	readonly workers: number;
	readonly service: string;
	/** Instances at this moment. */
	readonly targets: () => readonly Target[];
	/** Longest time that a copy may take, in milliseconds. */
	readonly timeoutMs: number;
	/** Ends the run; calls in flight finish first. */
	readonly signal: AbortSignal;
	/** Time between two calls of one caller, in milliseconds. */
	readonly pauseMs: number;
	/** Parts of the calls in percent; the rest are keyed writes that are sent once and again only when unanswered. */
	readonly mix?: {readonly reads: number; readonly unkeyedWrites: number; readonly duplicates: number};
}

const DEFAULT_MIX = {reads: 15, unkeyedWrites: 10, duplicates: 45};

type Draw = (below: number) => number;

/** What callers were told. */
export interface WorkloadRecords {
	readonly copies: readonly CopyRecord[];
	readonly outcomes: readonly OutcomeRecord[];
}

/** Runs the workload; answers every copy that was sent and every outcome that was read. */
export async function runWorkload(options: RunWorkloadOptions): Promise<WorkloadRecords> {
	const sender = new CopySender();
	const copies: CopyRecord[] = [];
	const outcomes: OutcomeRecord[] = [];
	await Promise.all(Array.from({length: options.workers}, async (_, worker) => {
		const random = xoroshiro128plus(options.seed + (worker * SEED_STRIDE));
		const draw: Draw = below => uniformInt(random, 0, below - 1);
		for (let call = 0; !options.signal.aborted; call += 1) {
			const sent = await runCall({
				options, sender, draw, number: `${worker}-${call}`,
			});
			copies.push(...sent);
			outcomes.push(...await readSome({options, draw, key: sent[0]?.key}));
			await sleep(draw(options.pauseMs * 2) + 1);
		}
	}));
	await sender.close();
	return {copies, outcomes};
}

/** Reads the outcome of some keys from any instance. */
async function readSome({options: {targets, service}, draw, key}: Pick<RunCallOptions, 'options' | 'draw'> & {readonly key: string | undefined}): Promise<readonly OutcomeRecord[]> {
	if (key === undefined || draw(PERCENT) >= READ_OUTCOME_PERCENT) {
		return [];
	}

	const known = targets();
	const outcome = await readOutcome({endpoint: known[draw(known.length)]!.endpoint, service, key});
	return outcome ? [outcome] : [];
}

interface RunCallOptions {
	readonly options: RunWorkloadOptions;
	readonly sender: CopySender;
	readonly draw: Draw;
	readonly number: string;
}

async function runCall({options, sender, draw, number}: RunCallOptions): Promise<readonly CopyRecord[]> {
	const {service, targets, timeoutMs, mix = DEFAULT_MIX} = options;
	const part = draw(PERCENT);
	const bytes = 100 + draw(1500);
	const isRead = part < mix.reads;
	const isKeyed = part >= mix.reads + mix.unkeyedWrites;
	const key = isKeyed ? createKey() : undefined;
	const body = `{"call":"${number}","padding":"${'x'.repeat(isKeyed ? drawBodyBytes(draw) : 0)}"}`;
	const hasDuplicates = isKeyed && part < mix.reads + mix.unkeyedWrites + mix.duplicates;
	let sent = 0;
	const send = async (): Promise<CopyRecord> => {
		sent += 1;
		const known = targets();
		const {instance, endpoint} = known[draw(known.length)]!;
		return sender.send({
			instance,
			endpoint,
			service,
			method: isRead ? 'GET' : 'POST',
			path: `/calls/${number}?bytes=${bytes}`,
			body: isRead ? undefined : body,
			key,
			isFirst: sent === 1 && !hasDuplicates,
			timeoutMs,
		});
	};

	if (!isKeyed) {
		return [await send()];
	}

	const copies = await Promise.all(Array.from({length: hasDuplicates ? 2 + draw(2) : 1}, async () => {
		await sleep(draw(30));
		return send();
	}));
	return [...copies, ...await resend({copies, send, hasDuplicates})];
}

function drawBodyBytes(draw: Draw): number {
	return draw(PERCENT) < LARGE_BODY_PERCENT ? LEAST_LARGE_BODY_BYTES + draw(MOST_LARGE_BODY_BYTES - LEAST_LARGE_BODY_BYTES) : 0;
}

interface ResendOptions {
	readonly copies: readonly CopyRecord[];
	readonly send: () => Promise<CopyRecord>;
	readonly hasDuplicates: boolean;
}

/** Sends a call again while it has no final answer, and once more after an answer when duplicates are wanted. */
async function resend({copies, send, hasDuplicates}: ResendOptions): Promise<readonly CopyRecord[]> {
	const isFinal = ({ended, reason}: CopyRecord): boolean => ended === 'answered' || ended === 'wrong' || reason === 'key-outcome-unknown' || reason === 'key-expired';
	const sent: CopyRecord[] = [];
	for (let again = 0; again < MOST_RESENDS && ![...copies, ...sent].some(copy => isFinal(copy)); again += 1) {
		await sleep(RESEND_PAUSE_MS * (2 ** again));
		sent.push(await send());
	}

	if (hasDuplicates) {
		sent.push(await send());
	}

	return sent;
}
