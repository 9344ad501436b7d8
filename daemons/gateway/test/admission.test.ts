/** Guards against urgent requests that lose their service while the capacity of a service is short, and against any change for earlier deployments. */
import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {runShareRound, SHARE_ROUND_CAPACITY} from '@pomelopick/testing.gateway-soak';
import type {OrganisationCall, ShareRoundResult, ShareSender} from '@pomelopick/testing.gateway-soak';

const LEARNING_MS = 2000;
const GATEWAYS = 2;
const newReasons: ReadonlySet<unknown> = new Set(['deadline-unreachable', 'capacity-short', 'organisation-share-exceeded']);

const titleOf = ({answer: {status, text}}: OrganisationCall): unknown => status === 503 ? (JSON.parse(text) as {readonly title: string}).title : undefined;

/** Share of the requests of an organisation that were served, among those sent after the first learning. */
function servedShare({calls, startMs}: ShareRoundResult, organisation: string): number {
	const own = calls.filter(call => call.organisation === organisation && call.sentAtMs >= startMs + LEARNING_MS);
	return own.filter(({answer}) => answer.status === 200).length / own.length;
}

describe('gateways whose service is short of capacity', () => {
	const senders: readonly ShareSender[] = [
		{organisation: 'urgent', priority: 0, rates: [SHARE_ROUND_CAPACITY * 0.6]},
		{organisation: 'patient', priority: 3, rates: [SHARE_ROUND_CAPACITY * 0.9]},
	];

	it('serve urgent requests first where the configuration has organisations, and do not run what they refuse', async t => {
		const result = await runShareRound({
			senders, periodsMs: [8000], hasOrganisations: true, gateways: GATEWAYS,
		});
		const [urgent, patient] = ['urgent', 'patient'].map(organisation => servedShare(result, organisation));
		t.diagnostic(`served: urgent ${urgent!.toFixed(3)}, patient ${patient!.toFixed(3)}`);
		assert.ok(urgent! > patient! + 0.2);
		assert.ok(patient! >= 0.15);
		const refused = result.calls.filter(call => newReasons.has(titleOf(call)));
		assert.ok(refused.length > 0, 'nothing was refused for short capacity');
		for (const {answer: {requestId, headers}} of refused) {
			assert.ok(!result.arrived.has(requestId));
			assert.ok(Number(headers['retry-after']) >= 0.2);
		}

		const line = result.lines.find(({reason}) => reason === 'capacity-short');
		assert.ok(typeof line?.pressure === 'number' && typeof line.expectedWaitMs === 'number');
		assert.match(result.metrics[0]!, /service_pressure\{service="ledger"[^}]*\} \d/u);
	});

	it('serve requests as they come where the configuration has no organisations', async t => {
		const result = await runShareRound({
			senders, periodsMs: [5000], hasOrganisations: false, gateways: GATEWAYS,
		});
		t.diagnostic(`served: urgent ${servedShare(result, 'urgent').toFixed(3)}, patient ${servedShare(result, 'patient').toFixed(3)}`);
		assert.deepEqual(result.calls.filter(call => newReasons.has(titleOf(call))), []);
		assert.ok(result.calls.some(call => titleOf(call) === 'queue-timeout'), 'the load was too low to tell');
		assert.ok(result.lines.every(line => !('pressure' in line) && !('expectedWaitMs' in line)));
		assert.doesNotMatch(result.metrics[0]!, /service_pressure\{/u);
	});
});
