/** Shapes of the two deployments. */
export {
	hebrides, listDomains, planServers, popescuVlad, toConfigurationSet,
	type Deployment, type DeploymentService, type PlannedServer, type ToConfigurationSetOptions,
} from '@pomelopick/config.examples';
