/** Reads the file in which a backend server's processes note their executions. */
import {readFile} from 'node:fs/promises';
import type {Execution, ExecutionReport} from '@pomelopick/testing.backend-stand-in';

/** The executions in a file, each as it was last noted; none when there is no file yet. */
export async function readExecutions(file: string): Promise<readonly Execution[]> {
	const executions = new Map<string, Execution>();
	for (const line of (await readLines(file))) {
		const report = JSON.parse(line) as ExecutionReport & {readonly process: number};
		executions.set(`${report.process}/${report.number}`, report.execution);
	}

	return [...executions.values()];
}

async function readLines(file: string): Promise<readonly string[]> {
	try {
		const text = await readFile(file, 'utf8');
		return text.split('\n').slice(0, -1);
	} catch {
		return [];
	}
}
