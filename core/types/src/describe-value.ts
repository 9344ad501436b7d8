/** Describes values from outside for error messages. */

const MAX_CHARACTERS = 120;
const MAX_DEPTH = 3;
/** Maximum number of items or fields that are described of one list or object. */
const MAX_ITEMS = 6;
const LEFT_OUT = '…';

/** Describes a value of parsed JSON in a bounded time and length, however large or deeply nested it is. Strings are cut, and what is left out is marked. */
export function describeValue(value: unknown): string {
	return cut(describe({value, depth: 0}));
}

function describe({value, depth}: {readonly value: unknown; readonly depth: number}): string {
	if (typeof value === 'string') {
		return JSON.stringify(cut(value));
	}

	if (!isComposite(value)) {
		return describeSimple(value);
	}

	const [open, close] = Array.isArray(value) ? ['[', ']'] : ['{', '}'];
	const described = depth < MAX_DEPTH ? describeContents({value, depth: depth + 1}) : LEFT_OUT;
	return open + described + close;
}

function describeSimple(value: unknown): string {
	if (typeof value === 'number' || typeof value === 'boolean') {
		return String(value);
	}

	return value === undefined ? 'nothing' : (value === null ? 'null' : typeof value);
}

function isComposite(value: unknown): value is Readonly<Record<string, unknown>> {
	return typeof value === 'object' && value !== null;
}

function describeContents({value, depth}: {readonly value: Readonly<Record<string, unknown>>; readonly depth: number}): string {
	const contents: string[] = [];
	for (const key in value) {
		if (!Object.hasOwn(value, key)) {
			continue;
		}

		if (contents.length === MAX_ITEMS) {
			contents.push(LEFT_OUT);
			break;
		}

		const content = describe({value: value[key], depth});
		contents.push(Array.isArray(value) ? content : `${JSON.stringify(cut(key))}:${content}`);
	}

	return contents.join(',');
}

function cut(text: string): string {
	return text.length > MAX_CHARACTERS ? `${text.slice(0, MAX_CHARACTERS)}${LEFT_OUT}` : text;
}
