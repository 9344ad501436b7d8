/** Derives from the memory of an instance how many bytes of bodies it may hold for callers and servers that read slowly. */

/** Memory that a process needs besides bodies, in megabytes: code, connections, view of the store, garbage, and buffers of the operating system. */
const PROCESS_MB = 140;
/** Bytes that are held if neither the memory nor the bytes are stated, and the memory for which they are meant, in megabytes. */
const DEFAULT_HELD_BYTES = 67_108_864;
const DEFAULT_MEMORY_MB = 350;
/** Minimum, in bytes, so that an instance whose memory is stated too low still serves. */
const MIN_HELD_BYTES = 8_388_608;

/**
 * Returns the maximum number of bytes of bodies that an instance holds. They are less than a third of the memory besides
 * that of the process, since buffers stay in memory until the engine collects them, and each transfer has buffers of the
 * operating system at both sockets.
 */
export function heldBytesOfMemory(memoryMb: number = DEFAULT_MEMORY_MB): number {
	return Math.max(MIN_HELD_BYTES, Math.floor(DEFAULT_HELD_BYTES * (memoryMb - PROCESS_MB) / (DEFAULT_MEMORY_MB - PROCESS_MB)));
}
