import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {checkFairShares} from '@pomelopick/testing.gateway-soak';
import type {OrganisationCall} from '@pomelopick/testing.gateway-soak';

const BEFORE = {fromMs: 0, toMs: 1000};
const DURING = {fromMs: 1000, toMs: 2000};

/** Numbers of requests of one organisation in a period, and how many of them were served. */
interface Sent {
	readonly organisation: string;
	readonly atMs: number;
	readonly count: number;
	readonly served: number;
}

function toCalls(sent: readonly Sent[]): readonly OrganisationCall[] {
	return sent.flatMap(({organisation, atMs, count, served}) => Array.from({length: count}, (_, index): OrganisationCall => ({
		method: 'GET', path: '/', body: '', instance: 'gateway', organisation, sentAtMs: atMs, answeredAtMs: atMs, timeLeftMs: 0, answer: {
			requestId: `${organisation}-${index}`, status: index < served ? 200 : 503, text: '', headers: {},
		},
	})));
}

const usual: readonly Sent[] = ['a', 'b', 'c'].map(organisation => ({
	organisation, atMs: 0, count: 100, served: 100,
}));
const during = (organisation: string, count: number, served: number): Sent => ({
	organisation, atMs: 1500, count, served,
});

const cases: ReadonlyArray<{readonly name: string; readonly sent: readonly Sent[]; readonly violations: readonly RegExp[]}> = [
	{name: 'all others keep their service', sent: [during('a', 700, 300), during('b', 100, 95), during('c', 100, 100)], violations: []},
	{name: 'one of the others loses service', sent: [during('a', 700, 500), during('b', 100, 94), during('c', 100, 100)], violations: [/^b was served 94 % of its requests while a sent more, 100 % before$/u]},
	{name: 'the one that rises gets far less than the mean', sent: [during('a', 700, 100), during('b', 100, 100), during('c', 100, 100)], violations: [/^a was served 14 % of its requests, organisations on average 71 %$/u]},
	{name: 'an organisation sent too little to judge', sent: [during('a', 700, 300), during('b', 39, 0), during('c', 100, 100)], violations: []},
];

describe('checkFairShares', () => {
	for (const {name, sent, violations} of cases) {
		it(`judges a period in which ${name}`, () => {
			const found = checkFairShares({
				calls: toCalls([...usual, ...sent]), before: BEFORE, during: DURING, rising: 'a',
			});
			assert.equal(found.length, violations.length, JSON.stringify(found));
			for (const [index, violation] of violations.entries()) {
				assert.equal(found[index]!.kind, 'unfair-share');
				assert.match(found[index]!.detail, violation);
			}
		});
	}
});
