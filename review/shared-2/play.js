/** Runs a case: a temporary folder, a record, a time limit, the end of all processes, and the exit code. */
import {mkdtemp, rm} from 'node:fs/promises';
import {tmpdir} from 'node:os';
import path from 'node:path';
import process from 'node:process';
import {openRecord} from './record.js';

const HELD = 0;
const BROKEN = 1;
const NOT_RUN = 2;
const MAX_MS = 110_000;

/**
 * Plays a case. `play` gets the folder, the record, whether there is trouble, and `add`, to which it gives whatever must be
 * stopped at the end; it resolves with the number of times that the rule was broken.
 */
export async function playCase({caseFolder, play}) {
	const folder = await mkdtemp(path.join(tmpdir(), 'pomelopick-review-'));
	const record = openRecord(path.join(caseFolder, 'record.txt'));
	const started = [];
	const hasTrouble = process.env.TROUBLE !== '0';
	record.line('case', {trouble: hasTrouble});
	const timer = setTimeout(async () => {
		record.line('case', {result: 'could not run: out of time'});
		await finish({
			started, folder, record, code: NOT_RUN,
		});
	}, MAX_MS);
	let code = NOT_RUN;
	try {
		const broken = await play({
			folder, record, hasTrouble, add(part) {
				started.push(part);
				return part;
			},
		});
		code = broken > 0 ? BROKEN : HELD;
		record.line('case', {result: broken > 0 ? `the rule was broken ${broken} times` : 'the rule held'});
		console.log(broken > 0 ? `the rule was broken ${broken} times` : 'the rule held');
	} catch (error) {
		record.line('case', {result: `could not run: ${error.stack}`});
		console.error(error);
	}

	clearTimeout(timer);
	await finish({
		started, folder, record, code,
	});
}

async function finish({started, folder, record, code}) {
	for (const part of started.toReversed()) {
		await part.end?.();
		await part.stop?.();
	}

	await rm(folder, {recursive: true, force: true});
	await record.close();
	process.exit(code);
}
