/**
 * Compares the processor time of builds of the gateway: `node request-cost-main.js GATEWAYS REQUESTS PER_SECOND ROUNDS CASE=BUNDLE…`.
 *
 * Each build gets a fleet with its own store, servers and gateways; the numbers of requests are those of one gateway. The
 * fleets of a round run at the same time, so that other work on the machine slows all of them alike.
 */
import process from 'node:process';
import {fileURLToPath} from 'node:url';
import {formatTable} from '@pomelopick/core.table';
import {costCases, measureCost} from './request-cost.js';
import type {CostMeasurement} from './request-cost.js';
import {medianOf} from './statistics.js';

const root = fileURLToPath(new URL('../../../', import.meta.url));
const {readGatewayFlags} = await import(`${root}/scripts/gateway-flags.js`) as {readGatewayFlags: (options: {root: string}) => Promise<readonly string[]>};
const USAGE_EXIT_CODE = 2;

const [gateways, requests, perSecond, rounds] = process.argv.slice(2, 6).map(Number) as [number, number, number, number];
const builds = process.argv.slice(6).map(word => {
	const [caseName, main = ''] = word.split('=') as [string, string?];
	return {
		word, costCase: costCases.get(caseName), main, measured: [] as CostMeasurement[],
	};
});

async function playRounds(): Promise<void> {
	const engineFlags = await readGatewayFlags({root});
	for (let round = 0; round < rounds; round += 1) {
		await Promise.all(builds.map(async ({costCase, word, main, measured}) => {
			measured.push(await measureCost({
				costCase: costCase!, main, engineFlags, gateways, requests, perSecond,
			}));
			process.stderr.write(`${word} ${JSON.stringify(measured.at(-1))}\n`);
		}));
	}

	const rows = builds.map(({word, measured}) => [
		word,
		...(['startMs', 'restMsPerSecond', 'requestMs'] as const).map(name => medianOf(measured.map(one => one[name])).toFixed(2)),
		measured.reduce((sum, {failed}) => sum + failed, 0),
	]);
	process.stdout.write(`${formatTable({columns: [`processor time, medians of ${rounds}`, 'start ms', 'at rest ms/s', 'ms/request', 'failed'], rows})}\n`);
}

if (builds.length > 0 && builds.every(({costCase, main}) => costCase && main !== '')) {
	await playRounds();
} else {
	process.stderr.write(`expected GATEWAYS REQUESTS PER_SECOND ROUNDS CASE=BUNDLE..., where CASE is one of ${[...costCases.keys()].join(', ')}\n`);
	process.exitCode = USAGE_EXIT_CODE;
}
