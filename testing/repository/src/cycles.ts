/** Finds cycles in a directed graph. */

/** Nodes and the nodes that each one leads to. */
export type Graph = ReadonlyMap<string, ReadonlySet<string>>;

/**
 * Finds the cycles of a graph, at least one for each group of nodes that reach each other.
 *
 * @returns Each cycle as the nodes on it, its first node repeated at the end.
 */
export function findCycles(graph: Graph): ReadonlyArray<readonly string[]> {
	const cycles: Array<readonly string[]> = [];
	const finished = new Set<string>();
	const path: string[] = [];
	const visit = (node: string): void => {
		const start = path.indexOf(node);
		if (start !== -1) {
			cycles.push([...path.slice(start), node]);
			return;
		}

		if (finished.has(node)) {
			return;
		}

		path.push(node);
		for (const next of graph.get(node) ?? []) {
			visit(next);
		}

		path.pop();
		finished.add(node);
	};

	for (const node of graph.keys()) {
		visit(node);
	}

	return cycles;
}
