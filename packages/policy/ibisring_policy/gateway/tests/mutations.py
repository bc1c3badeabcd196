"""Copies of a module in which one branch is turned round.

A check of decisions that accepts such a copy doesn't look at that branch.
"""

__all__ = ['Mutation', 'make_mutations']

import ast
import inspect
import types


class Mutation:
    """A module with one changed condition.

    Attributes
    ----------
    function : str
    line : int
        Of the condition, counted from the function's first line.
    condition : str
        The condition that is negated.
    module : types.ModuleType
        Behaves as the original one but for that condition.
    """

    __slots__ = ('function', 'line', 'condition', 'module')

    def __init__(self, function, line, condition, module):
        self.function = function
        self.line = line
        self.condition = condition
        self.module = module

    def __str__(self):
        return f'{self.function}: not ({self.condition})'


def make_mutations(module, functions):
    """Make a mutation for each condition of some functions.

    Conditions are the tests of `if` and of conditional expressions, the
    operands of `and` and `or`, and comparisons that are returned.

    Parameters
    ----------
    module : types.ModuleType
    functions : list of str

    Returns
    -------
    list of Mutation

    Examples
    --------
    >>> from ibisring_policy.gateway import shutdown
    >>> for each in make_mutations(shutdown, ['may_exit']):
    ...     print(each)
    may_exit: not (elapsed >= last_moment(grace, handled, lateness))
    may_exit: not (elapsed >= handled + accept_seconds(grace))
    may_exit: not (under_way == 0)
    """
    source = inspect.getsource(module)
    count = len(_find_conditions(ast.parse(source), functions))
    return [
        _make_mutation(module, source, functions, number)
        for number in range(count)
    ]


def _make_mutation(module, source, functions, number):
    tree = ast.parse(source)
    function, parent, field, index = _find_conditions(tree, functions)[number]
    value = getattr(parent, field)
    condition = value if index is None else value[index]
    negation = ast.UnaryOp(ast.Not(), condition)
    if index is None:
        setattr(parent, field, negation)
    else:
        value[index] = negation
    ast.fix_missing_locations(tree)
    copy = types.ModuleType(module.__name__)
    exec(compile(tree, module.__file__, 'exec'), vars(copy))
    _share_classes(module, copy)
    line = condition.lineno - function.lineno
    return Mutation(function.name, line, ast.unparse(condition), copy)


def _share_classes(module, copy):
    """Have a copy use the original's classes, so that values compare."""
    for name, value in vars(module).items():
        if isinstance(value, type):
            _replace_class(copy, name, value)


def _replace_class(copy, name, original):
    changed = getattr(copy, name)
    setattr(copy, name, original)
    for key, value in vars(copy).items():
        if isinstance(value, tuple):
            vars(copy)[key] = tuple(
                original(each) if type(each) is changed else each
                for each in value
            )


def _find_conditions(tree, functions):
    """Return (function, parent, field, index) of each condition."""
    found = []
    for function in tree.body:
        if isinstance(function, ast.FunctionDef):
            if function.name in functions:
                found += [
                    (function, *place)
                    for node in ast.walk(function)
                    for place in _conditions_of(node)
                ]
    return found


def _conditions_of(node):
    if isinstance(node, (ast.If, ast.IfExp, ast.While)):
        if not isinstance(node.test, ast.BoolOp):
            yield node, 'test', None
    elif isinstance(node, ast.BoolOp):
        for index, operand in enumerate(node.values):
            if not isinstance(operand, ast.BoolOp):
                yield node, 'values', index
    elif isinstance(node, (ast.Return, ast.Assign)):
        if isinstance(node.value, ast.Compare):
            yield node, 'value', None
