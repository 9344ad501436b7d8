/** Addresses to which connecting hangs, for all gateways of a round. */
import {setPartition} from '@pomelopick/testing.gateway-fleet';
import type {GatewayProcess} from '@pomelopick/testing.gateway-fleet';

/** Keeps the addresses of servers that fell silent unreachable. The gateways must have been started with `partitionFlags`. */
export class UnreachableAddresses {
	readonly #listGateways: () => ReadonlyArray<Pick<GatewayProcess, 'settingsPath'>>;
	readonly #ports = new Set<number>();
	#written: Promise<void> = Promise.resolve();

	constructor({listGateways}: {readonly listGateways: () => ReadonlyArray<Pick<GatewayProcess, 'settingsPath'>>}) {
		this.#listGateways = listGateways;
	}

	/** Sets whether a port can be reached. */
	readonly set = ({port, isReachable}: {readonly port: number; readonly isReachable: boolean}): void => {
		if (isReachable) {
			this.#ports.delete(port);
		} else {
			this.#ports.add(port);
		}

		this.apply();
	};

	/** Applies the current ports to all gateways, for example to one that has just started. */
	apply(): void {
		this.#written = this.#write(this.#written);
	}

	/** Writes the ports for all gateways, after an earlier write. */
	async #write(earlier: Promise<void>): Promise<void> {
		await earlier;
		const ports = [...this.#ports];
		await Promise.all(this.#listGateways().map(async gateway => writePorts({gateway, ports})));
	}
}

/** Writes the ports for one gateway; one that has ended meanwhile is left out. */
async function writePorts({gateway: {settingsPath}, ports}: {readonly gateway: Pick<GatewayProcess, 'settingsPath'>; readonly ports: readonly number[]}): Promise<void> {
	try {
		await setPartition({settingsPath, partition: {ports, open: 'silent', connecting: 'hangs'}});
	} catch (error) {
		if ((error as NodeJS.ErrnoException).code !== 'ENOENT') {
			throw error;
		}
	}
}
