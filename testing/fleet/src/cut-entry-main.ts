/** Runs one entry instance whose questions for slots fail while a file exists: `node cut-entry-main.js SETTINGS.json FILE`. */
import {existsSync} from 'node:fs';
import process from 'node:process';
import type {DescService} from '@bufbuild/protobuf';
import {EitherAsync, Left} from 'purify-ts';
import {createOwnedPlacement} from '@pomelopick/calls.placement';
import {readSettings} from '@pomelopick/config.settings';
import {startEntry} from '@pomelopick/daemons.entry';
import {PeerClients} from '@pomelopick/peer.transport';
import type {PeerCallOptions, PeerError} from '@pomelopick/peer.transport';

const [path = '', cutFile = ''] = process.argv.slice(2);

/** Reaches no other instance while the file exists. */
class CuttablePeers extends PeerClients {
	override call<Service extends DescService, Answer>(options: PeerCallOptions<Service, Answer>): EitherAsync<PeerError, Answer> {
		const cut: PeerError = {code: 'not-sent', message: 'cut by the test'};
		return existsSync(cutFile) ? EitherAsync.liftEither(Left(cut)) : super.call(options);
	}
}

const read = await readSettings(path).run();
const settings = read.unsafeCoerce();
const peers = new CuttablePeers();
const started = await startEntry({settings, createPlacement: async parts => createOwnedPlacement({...parts, peers})});
const daemon = started.unsafeCoerce();
process.stdout.write(`${JSON.stringify({instance: settings.instance, ...daemon.endpoints})}\n`);
process.once('SIGTERM', () => {
	void stop();
});

async function stop(): Promise<void> {
	await daemon.stop();
	peers.close();
}
