/** Clients that send one request after the other, and keep what they sent and were answered. */
import {randomUUID} from 'node:crypto';
import {performance} from 'node:perf_hooks';
import {setTimeout as sleep} from 'node:timers/promises';
import {HOST} from './configuration.js';
import {get} from './gateway.js';

const DEADLINE_MS = 4000;
/** Pauses after an answer of success and after any other, in milliseconds. */
const PAUSE_MS = 50;
const FAILED_PAUSE_MS = 150;
const OK = 200;

/** The clients of a case. */
export class Clients {
	/** What was sent: request id, method, path, time in milliseconds and status. */
	calls = [];
	#record;
	#isPaused = false;
	#isOver = false;

	constructor({record}) {
		this.#record = record;
	}

	/** Sends one request; the status is 0 if its connection ended without a complete answer, or the deadline passed. */
	async send({gateway, method, path, workMs}) {
		const call = {
			requestId: randomUUID(), method, path, sentAtMs: performance.now(), status: undefined,
		};
		this.calls.push(call);
		const {status} = await get({
			endpoint: gateway.front, path, method, body: method === 'POST' ? 'tonnes=3' : undefined, timeoutMs: DEADLINE_MS, headers: {
				host: HOST, 'x-request-id': call.requestId, 'x-affinity-key': path, 'x-deadline-ms': String(DEADLINE_MS), ...(workMs !== undefined && {'x-work-ms': String(workMs)}),
			},
		});
		call.status = status;
		this.#record.line(`client: ${method} ${path} id ${call.requestId} at ${gateway.name}: ${status === 0 ? 'no answer' : status}`);
		return call;
	}

	/** Lets clients send requests in a closed loop until {@link end}; `choose` returns the gateway, the method and the path of each. */
	async run({count, choose}) {
		await Promise.all(Array.from({length: count}, async (_, client) => {
			for (let number = 0; !this.#isOver; number += 1) {
				await this.#resumed();
				if (!this.#isOver) {
					const {status} = await this.send(choose({client, number}));
					await sleep(status === OK ? PAUSE_MS : FAILED_PAUSE_MS);
				}
			}
		}));
	}

	pause() {
		this.#isPaused = true;
	}

	resume() {
		this.#isPaused = false;
	}

	end() {
		this.#isOver = true;
	}

	/** Counts the answers by status, for the record. */
	describeAnswers(calls = this.calls) {
		const counts = new Map();
		for (const {status} of calls) {
			counts.set(status, (counts.get(status) ?? 0) + 1);
		}

		return [...counts].map(([status, count]) => `${count} x ${status === 0 ? 'no answer' : status}`).join(', ');
	}

	async #resumed() {
		while (this.#isPaused && !this.#isOver) {
			await sleep(10);
		}
	}
}
