/** Messages and bytes of heartbeats by three ways of choosing whom to tell: rings, a tree and all-to-all. */
import {create} from '@bufbuild/protobuf';
import type {Endpoint} from '@pomelopick/core.types';
import {ExchangeResponseSchema, MembershipService} from '@pomelopick/peer.protocol';
import {PeerClients, startPeerServer} from '@pomelopick/peer.transport';
import type {PeerServer} from '@pomelopick/peer.transport';

const LOOPBACK = '127.0.0.1';
const CALL_TIMEOUT_MS = 10_000;
/** Rings of the overlay; each gives an instance one subject. */
const RINGS = 4;
const ROUNDS = 3;
/** Senders of which each round of all-to-all measures the whole part. */
const SAMPLED_SENDERS = 10;
const ENDS = 2;

/** Ways that are compared. */
export type OverlayKind = 'rings' | 'tree' | 'all-to-all';

/** What one way costs at one size. */
export interface OverlayRow {
	readonly kind: OverlayKind;
	readonly nodes: number;
	/** Heartbeats that a node sends and receives in one round, on average. */
	readonly messagesPerNodePerRound: number;
	/** Heartbeats of the busiest node in one round. */
	readonly mostMessagesPerRound: number;
	/** Bytes that a node sends and receives in one round, on average. */
	readonly bytesPerNodePerRound: number;
	/** Rounds until news of one node has reached all, when each heartbeat carries it both ways. */
	readonly roundsToReachAll: number;
}

/** Options of {@link compareOverlays}. */
export interface CompareOverlaysOptions {
	readonly nodeCounts?: readonly number[];
	readonly nodesPerDomain?: number;
}

type Edge = readonly [number, number];

/** Measures empty heartbeats over real sockets; the graph gives the messages and rounds. */
export async function compareOverlays({nodeCounts = [9, 60, 200], nodesPerDomain = 8}: CompareOverlaysOptions = {}): Promise<readonly OverlayRow[]> {
	const rows: OverlayRow[] = [];
	for (const nodes of nodeCounts) {
		for (const kind of ['rings', 'tree', 'all-to-all'] as const) {
			rows.push(await measureOverlay({kind, nodes, edges: listEdges({kind, nodes, nodesPerDomain})}));
		}
	}

	return rows;
}

function listEdges({kind, nodes, nodesPerDomain}: {readonly kind: OverlayKind; readonly nodes: number; readonly nodesPerDomain: number}): readonly Edge[] {
	const ids = Array.from({length: nodes}, (_, index) => index);
	switch (kind) {
		case 'rings': {
			// Steps that are coprime to the size go round in different orders.
			return ids.flatMap(id => Array.from({length: Math.min(RINGS, nodes - 1)}, (_, ring): Edge => [id, (id + ringStep({ring, nodes})) % nodes]));
		}

		case 'tree': {
			const heads = ids.filter(id => id % nodesPerDomain === 0);
			return ids.flatMap((id): Edge[] => id % nodesPerDomain === 0
				? heads.filter(head => head !== id).map((head): Edge => [id, head])
				: [[id, id - (id % nodesPerDomain)]]);
		}

		case 'all-to-all': {
			return ids.flatMap(id => ids.filter(other => other !== id).map((other): Edge => [id, other]));
		}
	}
}

function ringStep({ring, nodes}: {readonly ring: number; readonly nodes: number}): number {
	return Math.max(1, Math.round(nodes ** (ring / RINGS)));
}

async function measureOverlay({kind, nodes, edges}: {readonly kind: OverlayKind; readonly nodes: number; readonly edges: readonly Edge[]}): Promise<OverlayRow> {
	const servers = await Promise.all(Array.from({length: nodes}, async () => startPeerServer({
		endpoint: {address: LOOPBACK, port: 0}, register(router) {
			router.service(MembershipService, {exchange: () => create(ExchangeResponseSchema, {digest: 1n, configuration: {version: 1n, digest: '0123456789abcdef', ageMs: 1n}})});
		},
	})));
	const senders = kind === 'all-to-all' ? Math.min(SAMPLED_SENDERS, nodes) : nodes;
	const measured = edges.filter(([from]) => from < senders);
	const clients = Array.from({length: senders}, () => new PeerClients());
	const endpoints = servers.map(({endpoint}) => endpoint);
	await sendRound({clients, endpoints, edges: measured});
	const before = countBytes(servers);
	for (let round = 0; round < ROUNDS; round += 1) {
		await sendRound({clients, endpoints, edges: measured});
	}

	const bytesPerMessage = (countBytes(servers) - before) / ROUNDS / measured.length;
	for (const client of clients) {
		client.close();
	}

	await Promise.all(servers.map(async server => server.stop()));
	const perNode = countPerNode({nodes, edges});
	return {
		kind,
		nodes,
		messagesPerNodePerRound: edges.length * ENDS / nodes,
		mostMessagesPerRound: Math.max(...perNode),
		bytesPerNodePerRound: bytesPerMessage * edges.length * ENDS / nodes,
		roundsToReachAll: countRounds({nodes, edges}),
	};
}

async function sendRound({clients, endpoints, edges}: {readonly clients: readonly PeerClients[]; readonly endpoints: readonly Endpoint[]; readonly edges: readonly Edge[]}): Promise<void> {
	await Promise.all(clients.map(async (client, from) => {
		for (const [, to] of edges.filter(edge => edge[0] === from)) {
			const answer = await client.call({
				endpoint: endpoints[to]!,
				service: MembershipService,
				timeoutMs: CALL_TIMEOUT_MS,
				invoke: async (peer, options) => peer.exchange({
					sender: `node-${from}`, digest: 1n, configuration: {version: 1n, digest: '0123456789abcdef', ageMs: 1n},
				}, options),
			}).run();
			if (answer.isLeft()) {
				throw new Error(`heartbeat from ${from} to ${to} failed`);
			}
		}
	}));
}

function countBytes(servers: readonly PeerServer[]): number {
	return servers.reduce((total, server) => total + server.countBytes(), 0);
}

function countPerNode({nodes, edges}: {readonly nodes: number; readonly edges: readonly Edge[]}): readonly number[] {
	const counts = Array.from({length: nodes}, () => 0);
	for (const [from, to] of edges) {
		counts[from]! += 1;
		counts[to]! += 1;
	}

	return counts;
}

/** Rounds that news from the worst-placed node takes, one edge a round either way. */
function countRounds({nodes, edges}: {readonly nodes: number; readonly edges: readonly Edge[]}): number {
	const neighbours = Array.from({length: nodes}, (): number[] => []);
	for (const [from, to] of edges) {
		neighbours[from]!.push(to);
		neighbours[to]!.push(from);
	}

	return Math.max(...neighbours.map((_, start) => countRoundsFrom({start, neighbours})));
}

function countRoundsFrom({start, neighbours}: {readonly start: number; readonly neighbours: ReadonlyArray<readonly number[]>}): number {
	const reached = new Set([start]);
	let frontier: readonly number[] = [start];
	let rounds = 0;
	while (reached.size < neighbours.length) {
		frontier = frontier.flatMap(id => neighbours[id]!).filter(id => !reached.has(id));
		for (const id of frontier) {
			reached.add(id);
		}

		rounds += 1;
	}

	return rounds;
}
