/** Plays instances of two regions whose messages are function calls. Guards against loads that are not known where they are needed, or known for too long. */
import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {Left, Right} from 'purify-ts';
import {decodeLoadReport, encodeLoadAnswer, LoadSharing} from '@pomelopick/calls.loads';
import type {LoadPeer} from '@pomelopick/calls.loads';
import {ServedCounters} from '@pomelopick/core.telemetry';
import type {
	BackendServerName, InstanceId, RegionName, ServiceName,
} from '@pomelopick/core.types';
import {chooseCollectors} from '@pomelopick/steering.loads';
import type {ServiceDemand, SharedLoad} from '@pomelopick/steering.loads';

const server = 'server' as BackendServerName;
const demand: ServiceDemand = {
	service: 'ledger' as ServiceName, priorities: [{priority: 0, offeredRate: 3, admittedRate: 2}], organisations: [{holder: '', usualRate: 1, rates: new Map([[0, 3]])}], flow: {answeredRate: 2, waitRate: 0.5, instances: 1},
};

class Fleet {
	nowMs = 0;
	/** Instances that do not answer. */
	readonly unreachable = new Set<string>();
	readonly known = new Map<string, readonly SharedLoad[]>();
	readonly demands = new Map<string, readonly ServiceDemand[]>();
	readonly members: ReadonlyArray<{readonly peer: LoadPeer; readonly sharing: LoadSharing}>;
	messages = 0;

	constructor({inFlight}: {readonly inFlight: number}) {
		const peers = Array.from({length: 8}, (_, index): LoadPeer => ({
			id: `gateway-${index}` as InstanceId, region: (index < 4 ? 'north' : 'south') as RegionName, peers: {address: `gateway-${index}`, port: 1},
		}));
		this.members = peers.map(peer => ({
			peer, sharing: new LoadSharing({
				self: peer.id,
				region: peer.region,
				instances: () => peers,
				isNeeded: () => true,
				listOwn: () => [{server, inFlight, workFactor: undefined}],
				listDemands: () => [demand],
				apply: ({all, demand: summed}) => {
					this.known.set(peer.id, all);
					this.demands.set(peer.id, summed);
				},
				post: async ({endpoint, body}) => this.#deliver({from: peer.id, to: endpoint.address, body}),
				async sleep() {/* The test calls share itself. */},
				counters: new ServedCounters(),
				now: () => this.nowMs,
				random: () => 0.5,
			}),
		}));
	}

	/** Lets every instance report once. */
	async play(): Promise<void> {
		this.nowMs += 500;
		for (const {peer, sharing} of this.members) {
			if (!this.unreachable.has(peer.id)) {
				await sharing.share();
			}
		}
	}

	async #deliver({from, to, body}: {readonly from: string; readonly to: string; readonly body: string}) {
		this.messages += 1;
		if (this.unreachable.has(from) || this.unreachable.has(to)) {
			return Left({code: 'instance-not-answering', message: 'unreachable'});
		}

		const {sharing} = this.members.find(({peer}) => peer.id === to)!;
		return Right({status: 200, text: encodeLoadAnswer(sharing.receive(decodeLoadReport(body).unsafeCoerce()))});
	}
}

describe('LoadSharing', () => {
	it('tells every instance the requests of all regions at a server, and the demand of all', async () => {
		const fleet = new Fleet({inFlight: 2});
		await fleet.play();
		await fleet.play();
		await fleet.play();
		assert.deepEqual([...fleet.known.values()].map(loads => loads[0]?.inFlight), Array.from({length: 8}, () => 16));
		assert.deepEqual([...fleet.demands.values()].map(([sum]) => sum), Array.from({length: 8}, () => ({
			service: 'ledger', priorities: [{priority: 0, offeredRate: 24, admittedRate: 16}], organisations: [{holder: '', usualRate: 8, rates: new Map([[0, 24]])}], flow: {answeredRate: 16, waitRate: 4, instances: 8},
		})));
		// Each instance but the two collectors reports to one, and these to each other.
		assert.equal(fleet.messages, 3 * 8);
	});

	it('goes on with another collector when one ends, without the requests of the one that ended', async () => {
		const fleet = new Fleet({inFlight: 2});
		await fleet.play();
		await fleet.play();
		const [collector] = chooseCollectors({region: 'north' as RegionName, instances: fleet.members.map(({peer}) => peer), count: 1});
		fleet.unreachable.add(collector!.id);
		fleet.known.delete(collector!.id);
		for (let round = 0; round < 6; round += 1) {
			await fleet.play();
		}

		assert.deepEqual([...fleet.known.values()].map(loads => loads[0]?.inFlight), Array.from({length: 7}, () => 14));
	});
});
