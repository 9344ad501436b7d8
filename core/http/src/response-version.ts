/** Reads the HTTP version of a response from the parser of the HTTP library, which accepts versions other than HTTP/1 and does not report them. */
import type {Client} from 'undici';

/** Parser of the library, a WebAssembly module. Its fields are internal: the tests of odd status lines fail if a new version of the library changes them. */
interface Parser {
	readonly ptr: number | null; // eslint-disable-line @typescript-eslint/no-restricted-types
	readonly llhttp: {
		readonly llhttp_get_http_major: (parser: number) => number;
		readonly llhttp_get_http_minor: (parser: number) => number;
	};
}

type Fields = Readonly<Record<symbol, unknown>>;

/** Symbols under which a client holds its socket, and a socket its parser. They are the same for all. */
const symbols = new Map<string, symbol>();

/** Returns the version of the response whose head a client reads at the moment, such as `1.1`; undefined if the client reads none. */
export function readResponseVersion(client: Client): string | undefined {
	const socket = readField({holder: client as unknown as Fields, name: 'socket'}) as Fields | undefined;
	const parser = socket ? readField({holder: socket, name: 'parser'}) as Parser | undefined : undefined;
	return parser?.ptr ? `${parser.llhttp.llhttp_get_http_major(parser.ptr)}.${parser.llhttp.llhttp_get_http_minor(parser.ptr)}` : undefined;
}

function readField({holder, name}: {readonly holder: Fields; readonly name: string}): unknown {
	const known = symbols.get(name) ?? Object.getOwnPropertySymbols(holder).find(({description}) => description === name);
	if (known === undefined) {
		return undefined;
	}

	symbols.set(name, known);
	return holder[known];
}
