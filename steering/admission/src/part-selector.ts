/** Selects a part of all requests evenly: random choices would deviate more from the part where an instance sees few requests. */

/** Selects requests one by one. */
export class PartSelector {
	/** Part of a request that is due to be selected: the fractions of earlier requests add up. */
	#due = 0;

	/** Whether the current request is selected, when this part of the requests is, from 0 to 1; at 0.5 every other request is. */
	select(part: number): boolean {
		this.#due += part;
		const isSelected = this.#due >= 1;
		this.#due -= Number(isSelected);
		return isSelected;
	}
}
