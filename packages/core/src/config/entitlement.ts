/** Resolves a customer's models, operations and limits from a configuration. */
import { Left, Right } from 'purify-ts';
import type { Either } from 'purify-ts';

import { Failure } from '../shared/failure.js';
import type { ModelId } from '../target/target.js';

import type {
  Configuration,
  CustomerLimits,
  ParameterValue,
  RankingSettings,
  Template,
  TemplateCustomer,
  TemplateOperation,
} from './template.js';

/** A model that the customer may request by its alias. */
export interface EntitledModel {
  readonly alias: string;
  readonly id: ModelId;
}

/** A customer's rights under its template, with parameters substituted. */
export interface Entitlement {
  readonly customer: string;
  readonly template: string;
  /** Revision under which a request is admitted and runs to its end. */
  readonly revision: number;
  readonly ranking: RankingSettings;
  readonly limits: CustomerLimits;
  readonly models: readonly EntitledModel[];
  readonly operations: readonly TemplateOperation[];
}

const parameterPattern = /\$\{([^}]*)\}/g;

/**
 * Replaces each `${name}` in a text by the parameter's value. A name that is no
 * parameter stays as written; `validateTemplate` reports it.
 */
export const substituteParameters = (
  text: string,
  parameters: Readonly<Record<string, ParameterValue>>,
): string =>
  text.replace(parameterPattern, (placeholder, name: string) =>
    String(parameters[name] ?? placeholder),
  );

const resolveParameters = (template: Template, customer: TemplateCustomer) => {
  const values: Record<string, ParameterValue> = {};
  for (const [name, parameter] of Object.entries(template.parameters)) {
    const value = customer.parameters[name] ?? parameter.default;
    if (value !== undefined) values[name] = value;
  }
  return values;
};

const createEntitlement = (
  template: Template,
  name: string,
  customer: TemplateCustomer,
  revision: number,
): Entitlement => {
  const parameters = resolveParameters(template, customer);
  const substitute = (text: string) => substituteParameters(text, parameters);
  return {
    customer: name,
    template: template.name,
    revision,
    ranking: template.ranking,
    limits: template.limits,
    models: template.models.map(model => ({
      alias: model.alias,
      id: {
        name: substitute(model.name),
        version: substitute(model.version),
        adapter:
          model.adapter === undefined ? undefined : substitute(model.adapter),
      },
    })),
    operations: template.operations,
  };
};

/** Finds the customer's entitlement; `forbidden` if no template lists it. */
export const resolveEntitlement = (
  configuration: Configuration,
  name: string,
): Either<Failure, Entitlement> => {
  for (const template of Object.values(configuration.templates)) {
    const customer = template.customers[name];
    if (customer !== undefined) {
      return Right(
        createEntitlement(template, name, customer, configuration.revision),
      );
    }
  }
  return Left(
    new Failure(
      'forbidden',
      `customer "${name}" is not listed in any template`,
    ),
  );
};
