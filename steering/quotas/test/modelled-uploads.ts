/** Uploads in a modelled fleet. All owners grant all that they may at every moment, and senders use all of it, which is the worst case for the bound. */
import type {BackendServerName} from '@pomelopick/core.types';
import {
	shardOfServer, shards, uploadBound, UploadReservations,
} from '@pomelopick/steering.quotas';
import type {UploadId} from '@pomelopick/steering.quotas';
import type {ModelledFleet} from './modelled-fleet.js';
import type {ModelledInstance} from './modelled-instance.js';

const MAX_BODY_BYTES = 64;
const SLOTS = 3;
/** Sizes of the uploads that are tried in turn. */
const sizes = [64, 40, 9];
/** Most grants that are tried at one server in one step. */
const MAX_TRIES = 4;

export const boundBytes = uploadBound({slots: SLOTS, maxBodyBytes: MAX_BODY_BYTES});

/** One server of each shard. */
export const servers: readonly BackendServerName[] = shards.map(shard => {
	let number = 0;
	while (shardOfServer(`server-${number}` as BackendServerName) !== shard) {
		number += 1;
	}

	return `server-${number}` as BackendServerName;
});

/** An upload that an instance is sending. */
interface ModelledUpload {
	/** Instance that granted it. */
	readonly owner: UploadReservations;
	readonly server: BackendServerName;
	readonly number: number;
	readonly bytes: number;
	readonly sender: ModelledInstance;
	readonly process: ModelledInstance['process'];
	/** Time by which the clock of the sender was behind at the start, in milliseconds. */
	readonly suspendedMs: number;
	/** End by the clock of the sender, in milliseconds. */
	readonly deadlineMs: number;
}

/** Uploads to one server of each shard. */
export class ModelledUploads {
	/** Largest sum of the uploads that were sent to a server at the same time, in bytes. */
	largestBytes = 0;
	readonly #fleet: ModelledFleet;
	readonly #longestMs: number;
	/** Whether reservations are released when their uploads end. */
	readonly #isReleased: boolean;
	readonly #owners = new Map<ModelledInstance['process'], UploadReservations>();
	#uploads: ModelledUpload[] = [];
	#count = 0;

	constructor({fleet, longestMs, isReleased}: {readonly fleet: ModelledFleet; readonly longestMs: number; readonly isReleased: boolean}) {
		this.#fleet = fleet;
		this.#isReleased = isReleased;
		this.#longestMs = longestMs;
		fleet.onStep = instance => {
			this.#step(instance);
		};
	}

	/** Bytes that are being sent to a server. */
	sendingBytes(server: BackendServerName): number {
		return this.#uploads.filter(upload => upload.server === server).reduce((sum, {bytes}) => sum + bytes, 0);
	}

	#step(instance: ModelledInstance): void {
		for (const upload of this.#uploads.filter(upload => !this.#isSent(upload) && this.#isReleased)) {
			upload.owner.release({server: upload.server, id: idOf(upload), nowMs: this.#fleet.nowMs});
		}

		this.#uploads = this.#uploads.filter(upload => this.#isSent(upload));
		const nowMs = this.#fleet.nowMs - instance.suspendedMs;
		const owner = this.#owners.get(instance.process) ?? new UploadReservations({ownerships: instance.process!.table.ownerships});
		this.#owners.set(instance.process, owner);
		owner.step(nowMs);
		for (const server of servers) {
			for (let tries = 0; tries < MAX_TRIES && this.#tryUpload({owner, server, nowMs}); tries += 1) {
				this.largestBytes = Math.max(this.largestBytes, this.sendingBytes(server));
			}
		}
	}

	/** Tries the sizes in turn; returns whether one was granted. */
	#tryUpload({owner, server, nowMs}: {readonly owner: UploadReservations; readonly server: BackendServerName; readonly nowMs: number}): boolean {
		const senders = this.#fleet.instances.filter(({process, frozenUntilMs}) => process && this.#fleet.nowMs >= frozenUntilMs);
		return sizes.some(bytes => {
			this.#count += 1;
			const sender = senders[this.#count % senders.length]!;
			const validMs = this.#count % 3 === 0 ? this.#longestMs / 2 : this.#longestMs;
			const outcome = owner.reserve({
				server, id: idOf({sender, number: this.#count}), bytes, validMs, boundBytes, longestMs: this.#longestMs, nowMs,
			});
			if (!outcome?.granted) {
				return false;
			}

			const {process, suspendedMs} = sender;
			this.#uploads.push({
				owner, server, number: this.#count, bytes, sender, process, suspendedMs, deadlineMs: this.#fleet.nowMs - suspendedMs + validMs,
			});
			return true;
		});
	}

	/** Whether an upload is still sent: until its deadline, the end of its process, or a suspension, after which its sender aborts it. */
	#isSent({sender, process, suspendedMs, deadlineMs}: ModelledUpload): boolean {
		return sender.process === process && sender.suspendedMs === suspendedMs && this.#fleet.nowMs - suspendedMs < deadlineMs;
	}
}

function idOf({sender, number}: Pick<ModelledUpload, 'sender' | 'number'>): UploadId {
	return {instance: sender.id, process: 1, upload: number};
}
