/** Runs the demo: `npm run demo [-- SEED]`. Exit code 0 only when no call was silent, wrong, executed twice or falsely told "not run". */
import process from 'node:process';
import {formatTable} from '@pomelopick/core.table';
import {isClean, runDemo} from './demo.js';
import {runGatewayDemo} from './gateway-demo.js';

const DEFAULT_SEED = 1;

const seed = Number(process.argv[2] ?? DEFAULT_SEED);
const startedAtMs = Date.now();
const report = (line: string): void => {
	process.stdout.write(`${line}\n`);
};

const results = [...await runDemo({seed, report}), await runGatewayDemo({seed, report})];
const columns = ['deployment', 'calls', 'answered', 'refused', 'failed', 'silent', 'wrongAnswers', 'doubleExecutions', 'falseNotRun', 'p50Ms', 'p99Ms'] as const;
process.stdout.write(`\n${formatTable({columns, rows: results.map(result => columns.map(column => result[column]))})}\n\n`);
const total = (column: 'calls' | 'answered' | 'refused' | 'silent' | 'wrongAnswers' | 'doubleExecutions' | 'falseNotRun'): number => results.reduce((sum, result) => sum + result[column], 0);
const summary = {
	seed,
	calls: total('calls'),
	answered: total('answered'),
	refused: total('refused'),
	silent: total('silent'),
	wrongAnswers: total('wrongAnswers'),
	doubleExecutions: total('doubleExecutions'),
	falseNotRun: total('falseNotRun'),
	p50Ms: Object.fromEntries(results.map(({deployment, p50Ms}) => [deployment, p50Ms])),
	p99Ms: Object.fromEntries(results.map(({deployment, p99Ms}) => [deployment, p99Ms])),
	elapsedMs: Date.now() - startedAtMs,
};
process.stdout.write(`${JSON.stringify(summary)}\n`);
process.exitCode = isClean(results) ? 0 : 1;
