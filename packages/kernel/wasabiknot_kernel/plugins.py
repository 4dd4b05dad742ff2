"""Registries of the plug-ins that settings select by name."""


class Registry:
    """A registry of the plug-ins of one kind."""

    def __init__(self):
        self._classes = {}

    def register(self, name):
        """Registers a class under a name.

        :param name: name in settings.
        :return: class decorator.
        """

        def decorate(plugin):
            self._classes[name] = plugin
            return plugin

        return decorate

    def create(self, name):
        """Creates an instance of a plug-in.

        :param name: registered name.
        :return: instance of the registered class.
        :raises KeyError: if the name is not registered.
        """
        return self._classes[name]()

    def list_names(self):
        """Lists the registered names.

        :return: sorted list of names.
        """
        return sorted(self._classes)
