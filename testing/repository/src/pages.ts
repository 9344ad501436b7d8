/** Finds the files that a page names. */

const CODE_PATTERN = /`(?<code>[^`\n]+)`/gu;
const PATH_PATTERN = /^[\w.-]+(?:\/[\w.-]+)+\/?$/u;
const LINK_PATTERN = /\]\((?<target>[^)#:]+)(?:#[^)]*)?\)/gu;

/** Files named by a page. */
export interface NamedFiles {
	/** Paths in code spans, from the root. */
	readonly paths: readonly string[];
	/** Targets of links, from the page's own folder. */
	readonly links: readonly string[];
}

/** Options of {@link listNamedFiles}. */
export interface ListNamedFilesOptions {
	/** The page's text, in Markdown. */
	readonly page: string;
	/** Whether a code span with slashes is meant as a path, judged by its first part. */
	readonly isFolder: (name: string) => boolean;
}

/** Lists the files and folders that a page names. */
export function listNamedFiles({page, isFolder}: ListNamedFilesOptions): NamedFiles {
	const codes = [...page.matchAll(CODE_PATTERN)].map(({groups}) => groups!.code!);
	return {
		paths: codes.filter(code => PATH_PATTERN.test(code) && isFolder(code.slice(0, code.indexOf('/')))),
		links: [...page.matchAll(LINK_PATTERN)].map(({groups}) => groups!.target!),
	};
}
