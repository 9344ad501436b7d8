/** The size that the system is designed for, and its budgets. */

/** Numbers of the planned size. */
export const plannedSize = {
	nodes: 920,
	clientBlocks: 130_000,
	sites: 170,
	lookupsPerSecond: 690_000,
	regions: 8,
	failureDomains: 27,
	changesPerDay: 3300,
	changeInForceSeconds: 13,
	failuresPerDay: 5,
	replacementsPerDay: 63,
} as const;

/** What control may cost one node. */
export const controlBudget = {
	corePercent: 4.7,
	memoryMegabytes: 64,
	kilobytesPerSecond: 12,
} as const;

/** What the platform's key-value service takes from the whole fleet. */
export const storeBudget = {
	writesPerSecond: 300,
	readsPerSecond: 2000,
	steadyCallsPerSecond: 200,
} as const;

export const SECONDS_PER_DAY = 86_400;
