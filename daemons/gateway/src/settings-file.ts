/** Reads the settings file, which may be replaced while it is read. */
import {setTimeout as sleep} from 'node:timers/promises';
import type {Either} from 'purify-ts';
import {readGatewaySettings} from '@pomelopick/config.settings';
import type {GatewaySettings, SettingsError} from '@pomelopick/config.settings';

/** Number of times that a file which is missing or incomplete is read, and the pause between two of them, in milliseconds. */
const MAX_READS = 10;
const PAUSE_MS = 100;

/** Reads and validates the settings. A file that is just being written is read again, for a second at most. */
export async function readSettingsFile(path: string): Promise<Either<SettingsError, GatewaySettings>> {
	let settings = await readGatewaySettings(path).run();
	for (let reads = 1; reads < MAX_READS && settings.isLeft() && settings.extract().code === 'unreadable-settings'; reads += 1) {
		await sleep(PAUSE_MS);
		settings = await readGatewaySettings(path).run();
	}

	return settings;
}
