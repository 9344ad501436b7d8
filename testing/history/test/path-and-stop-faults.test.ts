import {describeFaultCases} from './fault-cases.js';

describeFaultCases({
	title: 'keyed calls while paths to backend servers fail and instances stop',
	seed: 64_000,
	cases: [
		{name: 'the path to a server cut', steps: [{faults: ['backend-path-cut'], durationMs: 800}]},
		{name: 'silence towards a server', steps: [{faults: ['backend-path-silent-to-server'], durationMs: 1500}]},
		{name: 'silence from a server, twice', steps: [{faults: ['backend-path-silent-to-client'], durationMs: 900}, {faults: ['backend-path-silent-to-client'], durationMs: 900}]},
		{name: 'a slow path to a server', steps: [{faults: ['backend-path-delayed'], durationMs: 1500}]},
		{name: 'silence from a server while its answers are late', steps: [{faults: ['backend-path-silent-to-client', 'backend-late'], durationMs: 1200}]},
		{name: 'a planned stop', steps: [{faults: ['entry-stopped'], durationMs: 800}]},
		{name: 'a planned stop in an outage of the store', steps: [{faults: ['entry-stopped', 'store-outage'], durationMs: 1500}]},
		{name: 'a planned stop while another instance is paused', steps: [{faults: ['entry-stopped', 'entry-paused'], durationMs: 1500}]},
		{name: 'a planned stop while a path to a server is cut', steps: [{faults: ['entry-stopped', 'backend-path-cut'], durationMs: 1000}]},
	],
});
