/** Entries of the store that a gateway cannot use. */

const DEEP = 200_000;
const LARGE_BYTES = 1_000_000;
const MANY = 500;

const valid = {
	service: 'ledger', address: '127.0.0.1:9', zone: 'north-a', version: 'v1', slots: 4, state: 'ready', 'warmup-left-s': 0, sequence: 1, born: 1000,
};
/** A key of the store, and what is written to it. */
export type Written = readonly [key: string, value: string | Uint8Array];
const odd = (changes: Readonly<Record<string, unknown>>): Written => ['servers/odd', JSON.stringify({...valid, ...changes})];
const at = (address: string): Written => odd({address});
/** Stands for the address of a living server. */
export const SERVER_ADDRESS = 'ADDRESS';
const named = (id: string): Written => [`servers/${id}`, JSON.stringify({...valid, address: SERVER_ADDRESS})];
export const nested = `${'['.repeat(DEEP)}${']'.repeat(DEEP)}`;
const nestedObjects = `${'{"a":'.repeat(DEEP)}1${'}'.repeat(DEEP)}`;
const withField = (name: keyof typeof valid, text: string): Written => ['servers/odd', JSON.stringify({...valid, [name]: 'PLACE'}).replace('"PLACE"', text)];

/** Puts each value under a key of its own. */
const several = (written: readonly Written[]): readonly Written[] => written.map(([key, value], index) => [`${key}-${index}`, value]);

/** Entries that are written one after another. */
export interface OddEntryCase {
	readonly name: string;
	readonly written: readonly Written[];
}

/** Entries that are no records, or hold parts that none has. */
export const oddTexts: readonly OddEntryCase[] = [
	{name: 'nested lists', written: [['servers/odd', nested]]},
	{name: 'nested objects', written: [['servers/odd', nestedObjects]]},
	{name: 'a field of nested lists', written: [withField('address', nested)]},
	{name: 'a field of nested objects', written: [withField('slots', nestedObjects)]},
	{name: 'a version of nested lists beside valid fields', written: [withField('version', nested)]},
	{name: 'an unknown field of nested lists beside valid ones', written: [['servers/odd', JSON.stringify(valid).replace('{', `{"other":${nested},`)]]},
	{name: 'nesting that never ends', written: [['servers/odd', '['.repeat(LARGE_BYTES)]]},
	{name: 'bytes that are not UTF-8', written: [['servers/odd', new Uint8Array([0xFF, 0xFE, 0x00, 0xC0, 0x80])]]},
	{name: 'not an object', written: ['null', '1', '"text"', 'true', '[]', '', ' '].map((value, index) => [`servers/odd-${index}`, value])},
	{name: 'five hundred odd entries at once', written: Array.from({length: MANY}, (_, index) => [`servers/odd-${index}`, index % 2 === 0 ? '[{}]' : at('[fe80::1%lo]:80')[1]])},
	{name: 'odd configurations and zones', written: [['op/other', nested], ['op/evacuate/', nested], ['op/evacuate/\uD800', ''], ['\uD800', 'x'], ['', '']]},
	{name: 'an odd configuration', written: [['op/config', `{"version":${nested},"routes":${nested}}`]]},
];

/** Records with fields or keys that no server has. */
export const oddFields: readonly OddEntryCase[] = [
	{name: 'addresses with a scope', written: [at('[fe80::1%lo]:80'), ['servers/odd-2', at('fe80::1%1:80')[1]]]},
	{name: 'addresses of no host', written: several(['0.0.0.0:80', '[::]:80', '224.0.0.1:80', '[ff02::1]:80', '255.255.255.255:80', '[::ffff:0.0.0.0]:80'].map(address => at(address)))},
	{name: 'ports out of range or not in decimal digits', written: several(['0', '65536', '-1', '0x50', '8e1', ' 80', '80 ', '', '1e999'].map(port => at(`127.0.0.1:${port}`)))},
	{name: 'ids that cannot stand in a header', written: ['a\nb', 'a\r\nx-evil: 1', 'a\0b', '\u{1F600}', '\uD800', 'é', ' ', '\u007F'].map(id => named(id))},
	{name: 'no id', written: [named('')]},
	{name: 'ids with further slashes', written: [named('a/b'), named('/'), named('a/')]},
	{name: 'a very long id', written: [named('x'.repeat(100_000))]},
	{name: 'numbers too large', written: several([withField('slots', '1e400'), withField('warmup-left-s', '1e308'), withField('sequence', '9'.repeat(DEEP)), withField('born', '-1e308')])},
	{name: 'values of 1 MB', written: several([odd({service: 'x'.repeat(LARGE_BYTES)}), odd({state: 'x'.repeat(LARGE_BYTES)}), ['servers/odd', new Uint8Array(LARGE_BYTES)]])},
	{name: 'a field twice', written: [['servers/odd', JSON.stringify(valid).replace('{', '{"address":"[fe80::1%lo]:1","address":[],')]]},
	{name: 'names of the language', written: [['servers/odd', '{"__proto__":{"service":"ledger"},"constructor":1,"toString":null}'], ['servers/__proto__', '{"__proto__":null}'], ['servers/constructor', '[]']]},
];
