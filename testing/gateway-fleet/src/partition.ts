/** Partitions a gateway process from backend servers. */
import {writeFile} from 'node:fs/promises';
import {fileURLToPath} from 'node:url';

/** How connections of one gateway to some servers behave. */
export interface Partition {
	/** Ports of the servers; none: the partition has ended. */
	readonly ports: readonly number[];
	/** What becomes of open connections. */
	readonly open: 'works' | 'silent' | 'reset';
	/** What becomes of new connections. */
	readonly connecting: 'refused' | 'hangs';
}

/** Engine flags of a gateway that can be partitioned. */
export const partitionFlags: readonly string[] = ['--import', fileURLToPath(new URL('partition-hook.js', import.meta.url))];

/** Partitions a gateway that was started with {@link partitionFlags}, or ends its partition. */
export async function setPartition({settingsPath, partition}: {readonly settingsPath: string; readonly partition: Partition}): Promise<void> {
	await writeFile(`${settingsPath}.partition`, JSON.stringify(partition));
}
