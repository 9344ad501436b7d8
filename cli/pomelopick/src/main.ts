#!/usr/bin/env node
/** Runs the command line. */
import process from 'node:process';
import {endWhenOutputCloses} from './closed-output.js';
import {createCli, describeUsageError} from './index.js';

const USAGE_EXIT_CODE = 2;

endWhenOutputCloses({
	output: process.stdout, messages: process.stderr, exit(code) {
		process.exit(code);
	},
});
const cli = createCli();
try {
	const command = cli.process(process.argv.slice(2), {stdin: process.stdin, stdout: process.stdout, stderr: process.stderr});
	process.exitCode = await cli.run(command, {stdin: process.stdin, stdout: process.stdout, stderr: process.stderr});
} catch (error) {
	process.stderr.write(describeUsageError({cli, words: process.argv.slice(2)}) ?? cli.error(error));
	process.exitCode = USAGE_EXIT_CODE;
}
