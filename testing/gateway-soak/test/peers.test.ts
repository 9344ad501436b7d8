/** Guards against callers and servers whose behaviour in any combination ends a gateway or keeps it from answering others. */
import assert from 'node:assert/strict';
import process from 'node:process';
import {it} from 'node:test';
import {runPeerRound} from '@pomelopick/testing.gateway-soak';

const DURATION_MS = 20_000;
/** Seeds of batches that ended a gateway once. */
const BROKEN_ONCE = [11, 1004, 2001, 10_046];
const MAX_SEED = 2_000_000_000;
const seed = Number(process.env.POMELOPICK_SEED ?? Math.floor(Math.random() * MAX_SEED));

it(`a gateway outlives random callers and servers, and answers others (seed ${seed})`, async () => {
	const {violation, requests} = await runPeerRound({seed, durationMs: DURATION_MS, firstSeeds: BROKEN_ONCE});
	assert.equal(violation, undefined, JSON.stringify(violation)?.slice(0, 2000));
	assert.ok(requests > 0);
});
