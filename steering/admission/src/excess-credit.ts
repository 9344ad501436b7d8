/** Selects the requests that make up a part of all requests, evenly. */

/** Adds up parts of requests. */
export class ExcessCredit {
	/** Part of a request that is due to be selected: the fractions of earlier requests add up. */
	#due = 0;

	/** Whether the current request is selected, when this part of the requests is, from 0 to 1; at 0.5 every other request is. */
	take(part: number): boolean {
		this.#due += part;
		const isSelected = this.#due >= 1;
		this.#due -= Number(isSelected);
		return isSelected;
	}
}
