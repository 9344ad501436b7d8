/** Runs a case: within its time, with a record, ending what it started, with the exit code of its result. */
import path from 'node:path';
import process from 'node:process';
import {openRecord} from './record.js';

const LONGEST_MS = 115_000;
const BROKEN = 1;
const NOT_RUN = 2;

/**
 * Runs a case in a folder. `play` gets the record, whether the disruption takes place, and a function to which it hands
 * what has to be stopped; it returns whether the rule held.
 */
export async function runCase({folder, play}) {
	const record = openRecord(path.join(folder, 'record.txt'));
	const isTroubled = process.env.TROUBLE !== '0';
	const parts = [];
	let code = NOT_RUN;
	let isOver = false;
	const finish = async () => {
		if (isOver) {
			return;
		}

		isOver = true;
		await Promise.all(parts.map(async part => part.stop()));
		record.line(`exit code ${code}`);
		await record.close();
		process.exit(code);
	};

	for (const signal of ['SIGINT', 'SIGTERM', 'SIGHUP']) {
		process.on(signal, finish);
	}

	process.on('uncaughtException', error => {
		record.line(`the case failed: ${error.stack}`);
		code = NOT_RUN;
		finish();
	});
	const timer = setTimeout(() => {
		record.line('the case took too long');
		finish();
	}, LONGEST_MS);
	record.line(isTroubled ? 'with the disruption' : 'TROUBLE=0: without the disruption');
	try {
		const isHeld = await play({
			record, isTroubled, own(part) {
				parts.push(part);
				return part;
			},
		});
		code = isHeld ? 0 : BROKEN;
		console.log(isHeld ? 'the rule held' : 'the rule was broken');
	} catch (error) {
		record.line(`the case could not run: ${error.stack}`);
		console.log(`the case could not run: ${error.message}`);
	}

	clearTimeout(timer);
	await finish();
}
