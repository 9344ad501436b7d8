// The engine's flags with which the deployed gateway runs, as its deploy file has them.
import {readFile} from 'node:fs/promises';
import path from 'node:path';

const RUN_PATTERN = /^run = "node (?<flags>(?:--\S+ )*)target\/gateway\.cjs"$/mu;

/** Reads the flags; throws when the deploy file starts the gateway in another way. */
export async function readGatewayFlags({root}) {
	const file = path.join(root, 'deploy/system.toml');
	const match = RUN_PATTERN.exec(await readFile(file, 'utf8'));
	if (!match) {
		throw new Error(`${file}: expected a line run = "node FLAGS target/gateway.cjs"`);
	}

	return match.groups.flags.trim().split(' ').filter(Boolean);
}
