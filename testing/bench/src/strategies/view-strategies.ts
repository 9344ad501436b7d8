/** Strategies for who answers for a region's view, as the set of instances that an operation needs. */

/** Failure domains of a region; each lists whether its instances can be reached. */
export type RegionState = ReadonlyArray<readonly boolean[]>;

/** Whether an operation succeeds, and how many instances it has to reach. */
export interface Operation {
	readonly succeeds: (region: RegionState) => boolean;
	readonly messages: (region: RegionState) => number;
}

/** A pair of operations whose sets meet, so that a read sees the last write. */
export interface ViewStrategy {
	readonly name: string;
	readonly read: Operation;
	readonly write: Operation;
}

const majorityOf = (count: number): number => Math.floor(count / 2) + 1;
const countReached = (members: readonly boolean[]): number => members.filter(Boolean).length;
const hasOne = (members: readonly boolean[]): boolean => members.some(Boolean);
const hasAll = (members: readonly boolean[]): boolean => members.every(Boolean);
const hasMajority = (members: readonly boolean[]): boolean => countReached(members) >= majorityOf(members.length);
const sumOf = (numbers: readonly number[]): number => numbers.reduce((sum, number) => sum + number, 0);

/** One instance of the region, the first in an order that all share; the count lives there and nothing is written elsewhere. */
const oneOwner: ViewStrategy = {
	name: 'one owner, the next in order when it is gone (chosen)',
	read: {succeeds: region => region.some(domain => hasOne(domain)), messages: () => 1},
	write: {succeeds: region => region.some(domain => hasOne(domain)), messages: () => 0},
};

const readOneWriteAll: ViewStrategy = {
	name: 'one / all, flat',
	read: {succeeds: region => region.some(domain => hasOne(domain)), messages: () => 1},
	write: {succeeds: region => region.every(domain => hasAll(domain)), messages: region => region.flat().length},
};

const flatMajority: Operation = {succeeds: region => hasMajority(region.flat()), messages: region => majorityOf(region.flat().length)};

const majorityOfDomains = ({succeeds, messages}: {readonly succeeds: (domain: readonly boolean[]) => boolean; readonly messages: (size: number) => number}): Operation => ({
	succeeds: region => hasMajority(region.map(domain => succeeds(domain))),
	messages: region => sumOf(region.map(domain => messages(domain.length)).slice(0, majorityOf(region.length))),
});

const majorityInDomain = majorityOfDomains({succeeds: hasMajority, messages: majorityOf});

/** A grid whose columns are the failure domains. */
const grid: ViewStrategy = {
	name: 'grid, a column a failure domain',
	read: {succeeds: region => region.every(domain => hasOne(domain)), messages: region => region.length},
	write: {
		succeeds: region => region.every(domain => hasOne(domain)) && region.some(domain => hasAll(domain)),
		messages: region => region.length - 1 + Math.min(...region.map(({length}) => length)),
	},
};

/** All strategies that are compared. */
export const viewStrategies: readonly ViewStrategy[] = [
	oneOwner,
	readOneWriteAll,
	{name: 'majority, flat', read: flatMajority, write: flatMajority},
	{
		name: 'majority of failure domains over one / all',
		read: majorityOfDomains({succeeds: hasOne, messages: () => 1}),
		write: majorityOfDomains({succeeds: hasAll, messages: size => size}),
	},
	{name: 'majority of failure domains over majority', read: majorityInDomain, write: majorityInDomain},
	grid,
];
