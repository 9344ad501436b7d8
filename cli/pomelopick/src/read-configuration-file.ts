/** Reads and checks a configuration set from a file. */
import {readFile} from 'node:fs/promises';
import {EitherAsync, Left} from 'purify-ts';
import {checkConfigurationSet, formatFault} from '@pomelopick/config.schema';
import type {CodedError, ConfigurationSet} from '@pomelopick/core.types';

/** Reads and checks the file. Left if it cannot be read, is not JSON or has faults; the message lists all faults. */
export function readConfigurationFile(file: string): EitherAsync<CodedError, ConfigurationSet> {
	return EitherAsync.fromPromise(async () => {
		try {
			const input: unknown = JSON.parse(await readFile(file, 'utf8'));
			return checkConfigurationSet(input).mapLeft((faults): CodedError => ({
				code: 'bad-configuration', message: `${faults.length} fault(s) in ${file}\n${faults.map(fault => `  ${formatFault(fault)}`).join('\n')}`,
			}));
		} catch (error) {
			return Left({code: 'unreadable-file', message: `${file}: ${(error as Error).message}`});
		}
	});
}
