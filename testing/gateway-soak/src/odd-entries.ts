/** Entries that another writer may leave among those of the servers: malformed, oversized, deeply nested or unusable. */
import type {Draw} from './draw.js';

/** Prefix of the entries of servers in the store. */
const PREFIX = 'servers/';
/** Nesting is drawn by its order of magnitude, up to 10 to this power. */
const MAX_DEPTH_POWER = 5;
const LONG_NUMBER_DIGITS = 100_000;
const LONG_ID_CHARACTERS = 600;
const BYTES = 64;
const BYTE_VALUES = 256;

const ids = ['odd', '', '/', 'a//b', '__proto__', 'constructor', '\u0000', '\n', '..', '%2e%2e', 'with space', 'snow-\u2603', 'x'.repeat(LONG_ID_CHARACTERS)] as const;
const fields = ['service', 'address', 'zone', 'version', 'slots', 'state', 'warmup-left-s', 'sequence', 'born', 'unread'] as const;
/** Values of a field, as JSON text. None leads to a host other than this one. */
const values = ['null', 'true', '-1', '0', '1.5', '1e308', '1e999', '9007199254740993', '9'.repeat(LONG_NUMBER_DIGITS), '""', String.raw`"\u0000"`, '"__proto__"', '[]', '{}'] as const;
const addresses = [
	'127.0.0.1',
	'127.0.0.1:0',
	'127.0.0.1:-1',
	'127.0.0.1:65536',
	'127.0.0.1:1e3',
	'127.0.0.1:080',
	'127.0.0.1:1/x',
	'127.0.0.1:1?x',
	'user@127.0.0.1:1',
	'127.1:1',
	'0.0.0.0:1',
	'255.255.255.255:1',
	'[::1%lo]:1',
	'[fe80::1%lo]:1',
	'[fe80::1%25lo]:1',
	'fe80::1%lo:1',
	'[::ffff:127.0.0.1]:1',
	'[::]:1',
	'::1:1',
	'[]:1',
	':1',
	' 127.0.0.1:1',
	'localhost:1',
] as const;

/** An entry as it is written to the store. */
export interface OddEntry {
	readonly key: string;
	readonly value: Uint8Array;
}

/** Options of {@link drawOddEntry}. */
export interface DrawOddEntryOptions {
	readonly draw: Draw;
	/** Ids of living servers, whose entries may be replaced. */
	readonly livingIds: readonly string[];
}

/** Draws an entry, over that of a living server or under another id. */
export function drawOddEntry({draw, livingIds}: DrawOddEntryOptions): OddEntry {
	const id = draw(3) === 0 ? pick(draw, livingIds) : pick(draw, ids);
	return {key: `${PREFIX}${id}`, value: drawValue(draw)};
}

function drawValue(draw: Draw): Uint8Array {
	const shapes: ReadonlyArray<() => Uint8Array> = [
		() => Uint8Array.from({length: BYTES}, () => draw(BYTE_VALUES)),
		() => encode(''),
		() => encode('{"service":"ledger"'),
		() => encode(nest(draw)),
		() => encode(entryWith({field: pick(draw, fields), value: nest(draw)})),
		() => encode(entryWith({field: pick(draw, fields), value: nest(draw)})),
		() => encode(entryWith({field: pick(draw, fields), value: pick(draw, values)})),
		() => encode(entryWith({field: 'address', value: JSON.stringify(pick(draw, addresses))})),
		() => encode(entryWith({field: 'address', value: JSON.stringify(pick(draw, addresses))})),
	];
	return pick(draw, shapes)();
}

/** Returns arrays or objects in each other. */
function nest(draw: Draw): string {
	const depth = Math.ceil(10 ** (draw((MAX_DEPTH_POWER * 100) + 1) / 100));
	const [open, close] = pick(draw, [['[', ']'], ['{"a":', '}']] as const);
	return `${open.repeat(depth)}1${close.repeat(depth)}`;
}

/** Returns the JSON text of an entry that is well formed but for one field. */
function entryWith({field, value}: {readonly field: string; readonly value: string}): string {
	const entry: Readonly<Record<string, string>> = {
		service: '"ledger"', address: '"127.0.0.1:1"', zone: '"north-a"', version: '"v1"', slots: '4', state: '"ready"', 'warmup-left-s': '0', sequence: '1', born: '1000', [field]: value,
	};
	return `{${Object.entries(entry).map(([name, text]) => `${JSON.stringify(name)}:${text}`).join(',')}}`;
}

function encode(text: string): Uint8Array {
	return new TextEncoder().encode(text);
}

function pick<Item>(draw: Draw, items: readonly Item[]): Item {
	return items[draw(items.length)]!;
}
